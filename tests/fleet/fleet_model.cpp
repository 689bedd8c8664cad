#include "fleet_model.h"

#include "core/digest.h"
#include "wire/codec.h"

#include <algorithm>
#include <set>
#include <stdexcept>

namespace parsleyglade {

namespace {

constexpr time_point probeTime{std::chrono::seconds(1)};
constexpr std::size_t hostCount = 10;

/** Six bits of a choice. */
std::uint32_t bits(std::uint32_t choice, int index)
{
    return (choice >> (index * 6)) & 0x3fU;
}

/** Hashes a choice, because RapidCheck generates mostly small numbers and all bits of the choice are used. */
std::uint32_t mixBits(std::uint32_t choice)
{
    return static_cast<std::uint32_t>(hash64(std::to_string(choice)));
}

} // namespace

fleet_model::fleet_model()
{
    m_tables.pools = {{"a", "a", false, 0.9, 1, 8}, {"b", "b", false, 0.9, 1, 8}, {"spare", "office", true, 0.995, 1, 8}};
    for (std::size_t index = 0; index < hostCount; ++index) {
        const std::string name = "h" + std::to_string(index);
        const std::string pool = index < 2 ? "a" : index < 4 ? "b" : "spare";
        m_tables.hosts.push_back({name, pool, "r", index % 2 == 0 ? "north" : "south", "rack-" + std::to_string(index / 2)});
        m_health[name] = host_health::healthy;
    }
    m_digests.push_back(m_referenceFold.digest());
    m_leaving.emplace_back();
    for (const std::string name : {"n1", "n2", "s1", "s2"}) {
        m_entries.push_back({name, name[0] == 'n' ? "north" : "south", m_nextId++, {}, true, false, false, {}});
    }
}

fleet_record_builder fleet_model::newRecord(std::int64_t incarnation)
{
    return fleet_record_builder(incarnation).setIdentifierAndTime(m_nextId++, m_now);
}

void fleet_model::step(std::uint32_t choice)
{
    ++m_counts.steps;
    m_now += 100;
    performStep(mixBits(choice));
    checkOnePool();
    checkLeaving();
    checkDigests();
}

void fleet_model::performStep(std::uint32_t choice)
{
    const std::uint32_t kind = bits(choice, 0);
    if (kind < 3 && !m_delayed.empty()) {
        const auto delayed = m_delayed.begin() + static_cast<std::ptrdiff_t>(choice % m_delayed.size());
        const wire::fleet_record record = *delayed;
        m_delayed.erase(delayed);
        write(record);
    } else if (kind < 5 && !m_log.empty()) {
        ++m_counts.copies;
        const auto copy = decode<wire::fleet_record>(m_log[choice % m_log.size()]);
        write(copy.value());
    } else if (kind < 8) {
        performOperatorStep(choice);
    } else if (kind < 11) {
        finishJob(choice);
    } else {
        performEntryHostStep(m_entries[bits(choice, 1) % m_entries.size()], choice);
    }
}

void fleet_model::performOperatorStep(std::uint32_t choice)
{
    const fleet_host &host = m_tables.hosts[bits(choice, 1) % hostCount];
    const std::uint32_t action = bits(choice, 2) % 8;
    const auto &state = m_referenceFold.state();
    if (action < 2 && state.drains.size() < 3) {
        append(newRecord(0).drainStarted(action == 0 ? drain_scope::host : drain_scope::rack, action == 0 ? host.name : host.rack, "operator"), choice);
    } else if (action < 5 && !state.drains.empty()) {
        append(newRecord(0).drainEnded(state.drains.begin()->first, "operator"), choice);
    } else if (action == 5 && !m_endedIncarnations.empty()) {
        append(newRecord(0).retired(m_entries[choice % m_entries.size()].name, m_endedIncarnations.back(), "operator"), choice);
    } else if (action == 6) {
        const auto plan = wave_planner({}).planCycle(m_tables, state, m_health, [](const fleet_host &) { return true; });
        const std::string name = "w" + std::to_string(m_nextId);
        append(newRecord(0).wavePlanned(name, plan.batches, 0, "operator"), 63);
        append(newRecord(0).waveChanged(wire::fleet_action::wave_started, name, 1, "operator"), 63);
    } else if (!state.waves.empty()) {
        const auto &[name, wave] = *state.waves.rbegin();
        append(newRecord(0).waveChanged(wire::fleet_action::wave_aborted, name, wave.version, "operator"), choice);
    }
}

void fleet_model::performEntryHostStep(model_entry &entry, std::uint32_t choice)
{
    const std::uint32_t action = bits(choice, 2);
    if (action < (entry.isFrozen ? 12U : 1U)) {
        entry.isFrozen = !entry.isFrozen;
        ++m_counts.freezes;
    } else if (action == 2 && entry.isRunning) {
        entry.isRunning = false;
        entry.inFlight.clear();
        m_endedIncarnations.push_back(entry.incarnation);
        ++m_counts.kills;
    } else if (action < 24 && !entry.isRunning) {
        restart(entry, choice % 4 != 0);
    } else if (!entry.isRunning || entry.isFrozen) {
        return;
    } else if (action < 4) {
        entry.isStopping = true;
    } else if (action < 26) {
        deliver(entry, 1 + bits(choice, 3) % 32, bits(choice, 4) % 4);
    } else if (action < 40) {
        appendDueRecords(entry, choice);
    } else if (action < 47) {
        planMoves(entry, choice);
    } else if (action < 51) {
        runWave(entry, choice);
    } else {
        sendJob(entry, m_tables.hosts[bits(choice, 3) % (hostCount / 2) * 2 + (entry.dataCentre == "south" ? 1 : 0)]);
    }
}

/** Appends the record immediately, late, twice or never, depending on faultChoice. */
void fleet_model::append(const wire::fleet_record &record, std::uint32_t faultChoice)
{
    const std::uint32_t kind = bits(faultChoice, 4);
    if (kind < 4) {
        return;
    }
    if (kind < 12) {
        ++m_counts.delayed;
        m_delayed.push_back(record);
        return;
    }
    write(record);
    if (kind < 16) {
        ++m_counts.copies;
        m_delayed.push_back(record);
    }
}

void fleet_model::appendAll(const std::vector<wire::fleet_record> &records, std::uint32_t faultChoice)
{
    for (const auto &record : records) {
        append(record, faultChoice);
        faultChoice = faultChoice * 2654435761U + 1;
    }
}

void fleet_model::write(const wire::fleet_record &record)
{
    const fleet_state before = m_referenceFold.state();
    m_log.push_back(encode(record));
    const bool isApplied = m_referenceFold.apply(m_log.size() - 1, m_log.back()) == fleet_fold_status::applied;
    if (isApplied) {
        checkBudget(before, record);
        m_counts.joins += record.action == wire::fleet_action::move_joined ? 1 : 0;
        m_counts.drains += record.action == wire::fleet_action::drain_started ? 1 : 0;
    }
    m_digests.push_back(m_referenceFold.digest());
    auto &leaving = m_leaving.emplace_back();
    for (const fleet_host &host : m_tables.hosts) {
        const auto assigned = m_referenceFold.state().hosts.find(host.name);
        const bool moving = assigned != m_referenceFold.state().hosts.end() && !assigned->second.toPool.empty();
        leaving[host.name] = moving || std::any_of(m_referenceFold.state().drains.begin(), m_referenceFold.state().drains.end(), [&host](const auto &drain) {
                                 return drain.second.subject == host.name || drain.second.subject == host.rack;
                             });
    }
}

void fleet_model::deliver(model_entry &entry, std::size_t maximumRecords, std::size_t rereadRecords)
{
    const std::size_t next = entry.fold.nextOffset();
    const std::size_t from = next > rereadRecords ? next - rereadRecords : 0;
    for (std::size_t offset = from; offset < std::min(m_log.size(), next + maximumRecords); ++offset) {
        entry.fold.apply(offset, m_log[offset]);
    }
}

void fleet_model::restart(model_entry &entry, bool fromSnapshot)
{
    const std::string name = entry.name;
    entry = {name, entry.dataCentre, m_nextId++, {}, true, false, false, {}};
    if (fromSnapshot) {
        write(m_referenceFold.snapshot(incarnation_id{0}, m_nextId++, m_now));
        entry.fold.skipTo(m_log.size() - 1);
    }
}

/** Appends the records that are due according to the entry host's own fold: its registration or retirement, acknowledgements and joins. */
void fleet_model::appendDueRecords(model_entry &entry, std::uint32_t faultChoice)
{
    const incarnation_id self{entry.incarnation};
    const auto registration = entry.fold.state().entryHosts.find(entry.name);
    const std::int64_t registrationCount = registration == entry.fold.state().entryHosts.end() ? 0 : registration->second.registrationCount;
    if (entry.isStopping) {
        if (entry.inFlight.empty()) {
            append(newRecord(entry.incarnation).retired(entry.name, entry.incarnation), faultChoice);
            entry.isRunning = false;
            m_endedIncarnations.push_back(entry.incarnation);
        }
        return;
    }
    if (!entry.fold.isRegistered(self)) {
        // A retired incarnation does not register again.
        if (registration == entry.fold.state().entryHosts.end() || registration->second.incarnation != entry.incarnation) {
            append(newRecord(entry.incarnation).registered(entry.name, entry.dataCentre, "r", registrationCount), faultChoice);
        }
        return;
    }

    for (const fleet_host &host : m_tables.hosts) {
        const auto assigned = entry.fold.state().hosts.find(host.name);
        if (assigned == entry.fold.state().hosts.end() || !assigned->second.isLeaving()) {
            continue;
        }
        const auto observation = observe(entry, host.name);
        if (membership(self, entry.dataCentre).mayAcknowledge(host, entry.fold, observation)) {
            append(newRecord(entry.incarnation).moveAcknowledged(host.name, assigned->second.epoch), faultChoice);
        } else if (membership::mayJoin(host.name, entry.fold, observation, probeTime)) {
            append(newRecord(entry.incarnation).moveJoined(host.name, assigned->second.epoch), faultChoice);
        }
    }
}

void fleet_model::planMoves(model_entry &entry, std::uint32_t choice)
{
    std::vector<pool_demand> demands;
    for (int index = 0; index < 2; ++index) {
        const std::int64_t hosts = 1 + bits(choice, 3 + index) % 5;
        demands.push_back({index == 0 ? "a" : "b", hosts, hosts, std::nullopt, {entry.dataCentre}});
    }
    availability_budget budget(m_tables, entry.fold.state(), m_health);
    const move_planner planner({6, duration::zero(), duration::zero()});
    const wall_time now{std::chrono::milliseconds(m_now)};
    const auto decisions = planner.plan(m_tables, entry.fold.state(), budget, demands, now);
    appendAll(moveRecords(decisions, entry.incarnation, now, [this] { return m_nextId++; }), choice);
}

void fleet_model::runWave(model_entry &entry, std::uint32_t choice)
{
    if (entry.fold.state().waves.empty()) {
        return;
    }
    const std::string &name = entry.fold.state().waves.rbegin()->first;
    availability_budget budget(m_tables, entry.fold.state(), m_health);
    const wall_time now{std::chrono::milliseconds(m_now)};
    const auto decisions = wave_runner({}).next(name, {m_tables, entry.fold.state(), m_health, m_progress, 0, now}, budget);
    for (const auto &decision : decisions) {
        if (decision.step == wave_step::maintain_host) {
            m_progress[decision.host].maintenance = maintenance_state::done;
        }
    }
    appendAll(waveRecords(decisions, entry.incarnation, now, [this] { return m_nextId++; }), choice);
}

endpoint_observation fleet_model::observe(const model_entry &entry, const std::string &host) const
{
    const auto sent = entry.inFlight.find(host);
    const auto running = std::count_if(m_jobs.begin(), m_jobs.end(), [&host](const running_job &job) { return job.endpoint == host; });
    return {probeTime,
            {},
            false,
            listed_state::live,
            static_cast<std::uint32_t>(running),
            sent == entry.inFlight.end() ? 0U : static_cast<std::uint32_t>(sent->second.size())};
}

host_membership fleet_model::membershipOf(const model_entry &entry, const fleet_host &host) const
{
    const drain_index drains(entry.fold.state());
    return membership(incarnation_id{entry.incarnation}, entry.dataCentre).evaluateHost(host, true, entry.fold, drains, observe(entry, host.name), probeTime);
}

void fleet_model::sendJob(model_entry &entry, const fleet_host &host)
{
    const auto hostMembership = membershipOf(entry, host);
    if (!entry.isStopping && hostMembership.isUsable()) {
        ++m_counts.jobs;
        entry.inFlight[host.name].push_back(hostMembership.pool);
        m_jobs.push_back({host.name, hostMembership.pool, entry.incarnation});
    }
}

void fleet_model::finishJob(std::uint32_t choice)
{
    if (m_jobs.empty()) {
        return;
    }
    const auto job = m_jobs.begin() + static_cast<std::ptrdiff_t>(choice % m_jobs.size());
    const auto sender = std::find_if(m_entries.begin(), m_entries.end(), [&job](const model_entry &entry) { return entry.incarnation == job->sender; });
    if (sender != m_entries.end() && sender->isFrozen) {
        return; // The response stays in the socket buffer of the frozen process.
    }
    if (sender != m_entries.end() && sender->isRunning) {
        std::vector<std::string> &sent = sender->inFlight.at(job->endpoint);
        sent.pop_back();
        if (sent.empty()) {
            sender->inFlight.erase(job->endpoint);
        }
    }
    m_jobs.erase(job);
}

void fleet_model::settle()
{
    for (; !m_delayed.empty(); m_delayed.pop_front()) {
        write(m_delayed.front());
    }
    for (int round = 0; round < 6; ++round) {
        for (model_entry &entry : m_entries) {
            entry.isFrozen = false;
        }
        while (!m_jobs.empty()) {
            finishJob(0);
        }
        for (model_entry &entry : m_entries) {
            const auto registration = entry.fold.state().entryHosts.find(entry.name);
            const bool retired
                = registration != entry.fold.state().entryHosts.end() && registration->second.incarnation == entry.incarnation && !registration->second.active;
            if (!entry.isRunning || entry.isStopping || retired) {
                restart(entry, false);
            }
            deliver(entry, m_log.size(), 0);
            appendDueRecords(entry, 63U << 24U);
            checkOnePool();
        }
    }
    for (const auto &[name, host] : m_referenceFold.state().hosts) {
        fleet_model::require(!host.isLeaving(), "the move of host " + name + " did not end after all faults were removed");
    }
}

} // namespace parsleyglade
