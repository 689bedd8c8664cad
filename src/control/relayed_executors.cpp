#include "control/relayed_executors.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

relayed_executors::relayed_executors(event_loop &loop, executor_client &direct, const peer_settings &peers, const relay_settings &settings, leader_load &load)
    : m_loop(loop)
    , m_direct(direct)
    , m_peers(peers)
    , m_settings(settings)
    , m_load(load)
{
    m_maintenanceTimer = m_loop.every(m_settings.heartbeatInterval, [this] { maintain(); });
}

void relayed_executors::setFleetSize(std::size_t executors)
{
    if (!m_usesRelays && executors >= m_settings.minimumFleet) {
        m_usesRelays = true;
        maintain();
    }
}

void relayed_executors::recordCandidate(const std::string &address, const std::string &dataCentre)
{
    if (!dataCentre.empty()) {
        m_dataCentres[dataCentre].candidates[address] = m_loop.now();
    }
}

void relayed_executors::start(const start_order &order, std::function<void(order_response)> done)
{
    if (relay_link *relay = findRelay(order.target)) {
        relay->start(order, std::move(done));
    } else {
        m_direct.start(order, std::move(done));
    }
}

void relayed_executors::stop(const stop_order &order, std::function<void(order_response)> done)
{
    if (relay_link *relay = findRelay(order.target)) {
        relay->stop(order, std::move(done));
    } else {
        m_direct.stop(order, std::move(done));
    }
}

void relayed_executors::pace(const pace_order &order, std::function<void(order_response)> done)
{
    if (relay_link *relay = findRelay(order.target)) {
        relay->pace(order, std::move(done));
    } else {
        m_direct.pace(order, std::move(done));
    }
}

void relayed_executors::poll(const poll_order &order, std::function<void(poll_response)> done)
{
    if (relay_link *relay = findRelay(order.target)) {
        relay->poll(order, std::move(done));
    } else {
        m_direct.poll(order, std::move(done));
    }
}

/** Chooses by rendezvous hashing, so that an executor changes its relay only when that is lost or a preferred one comes into use. */
relay_link *relayed_executors::findRelay(const order_target &target)
{
    relay_link *chosen = nullptr;
    std::uint64_t highest = 0;
    if (const auto found = m_dataCentres.find(target.dataCentre); found != m_dataCentres.end()) {
        for (const auto &link : found->second.links) {
            if (link->state() != relay_link::link_state::ready) {
                continue;
            }
            const std::uint64_t weight = hash64(target.executor, link->hashSeed());
            if (chosen == nullptr || weight > highest) {
                chosen = link.get();
                highest = weight;
            }
        }
    }
    if (chosen == nullptr) {
        ++m_load.relays().directOrders;
    } else {
        scheduleFlush();
    }
    return chosen;
}

/** Sends the messages after the current callback has returned, so that they hold all orders of a round of decisions. */
void relayed_executors::scheduleFlush()
{
    if (std::exchange(m_isFlushScheduled, true)) {
        return;
    }
    m_loop.post([this, alive = std::weak_ptr<bool>(m_alive)] {
        if (alive.lock()) {
            flush();
        }
    });
}

void relayed_executors::flush()
{
    m_isFlushScheduled = false;
    for (const auto &[name, centre] : m_dataCentres) {
        for (const auto &link : centre.links) {
            if (link->state() != relay_link::link_state::lost) {
                link->flush();
            }
        }
    }
}

/** Opens links to candidates, in the order of their addresses, until the data centre has enough. */
void relayed_executors::openLinks(data_centre &centre)
{
    const auto isUsable = [](const auto &link) {
        return link->state() == relay_link::link_state::opening || link->state() == relay_link::link_state::ready;
    };
    auto usable = static_cast<std::size_t>(std::count_if(centre.links.begin(), centre.links.end(), isUsable));
    for (auto candidate = centre.candidates.begin(); m_usesRelays && usable < m_settings.relaysPerDataCentre && candidate != centre.candidates.end();
         ++candidate) {
        const std::string &address = candidate->first;
        const bool hasLink = std::any_of(centre.links.begin(), centre.links.end(), [&address](const auto &link) { return link->address() == address; });
        if (!hasLink && !centre.blockedUntil.contains(address)) {
            centre.links.push_back(std::make_unique<relay_link>(m_loop, m_peers, m_settings, m_load, address, static_cast<relay_link::listener &>(*this)));
            ++usable;
        }
    }
}

/** Forgets candidates that are silent, destroys the links to relays that have left and opens links in place of lost ones. */
void relayed_executors::maintain()
{
    const time_point now = m_loop.now();
    for (auto &[name, centre] : m_dataCentres) {
        std::erase_if(centre.candidates, [&](const auto &candidate) { return now - candidate.second > m_settings.candidateTimeout; });
        std::erase_if(centre.blockedUntil, [now](const auto &blocked) { return now >= blocked.second; });
        std::erase_if(centre.links, [](const auto &link) { return link->state() == relay_link::link_state::leaving && link->ordersInFlight() == 0; });
        openLinks(centre);
    }
}

void relayed_executors::relayReady(const relay_link &link, duration roundTrip)
{
    m_log.notice("relay in use", {{"relay", link.address()}, {"dataCentre", dataCentreOf(link)}, {"roundTripUs", roundTrip.count()}});
    countRelays();
}

void relayed_executors::relayLeaving(const relay_link &link, const std::string &reason)
{
    logEndOfUse(link, reason);
    for (auto &[name, centre] : m_dataCentres) {
        if (centre.candidates.erase(link.address()) > 0) { // until it probes again, which it does not while it shuts down
            centre.blockedUntil[link.address()] = m_loop.now() + m_settings.reopenDelay;
        }
    }
    countRelays();
}

void relayed_executors::relayLost(const relay_link &link, const std::string &reason)
{
    ++m_load.relays().lostRelays;
    logEndOfUse(link, reason);
    removeLater(link);
    countRelays();
}

void relayed_executors::logEndOfUse(const relay_link &link, const std::string &reason) const
{
    m_log.notice("relay no longer in use",
                 {{"relay", link.address()}, {"reason", reason}, {"orders", link.ordersInFlight()}, {"executors", link.pollsInFlight()}});
}

/** Removes a lost link after the current callback, which is one of the link, has returned, and opens another one in its place. */
void relayed_executors::removeLater(const relay_link &link)
{
    m_loop.post([this, address = link.address(), alive = std::weak_ptr<bool>(m_alive)] {
        if (!alive.lock()) {
            return;
        }
        for (auto &[name, centre] : m_dataCentres) {
            const auto removed = std::erase_if(
                centre.links, [&address](const auto &item) { return item->address() == address && item->state() == relay_link::link_state::lost; });
            if (removed > 0) {
                centre.blockedUntil[address] = m_loop.now() + m_settings.reopenDelay;
                openLinks(centre);
            }
        }
    });
}

std::string relayed_executors::dataCentreOf(const relay_link &link) const
{
    const auto found = std::find_if(m_dataCentres.begin(), m_dataCentres.end(), [&link](const auto &centre) {
        return std::any_of(centre.second.links.begin(), centre.second.links.end(), [&link](const auto &item) { return item.get() == &link; });
    });
    return found == m_dataCentres.end() ? std::string() : found->first;
}

void relayed_executors::countRelays()
{
    std::size_t ready = 0;
    for (const auto &[name, centre] : m_dataCentres) {
        ready += static_cast<std::size_t>(
            std::count_if(centre.links.begin(), centre.links.end(), [](const auto &link) { return link->state() == relay_link::link_state::ready; }));
    }
    m_load.relays().relays = ready;
}

} // namespace parsleyglade
