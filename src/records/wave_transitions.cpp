#include "records/wave_transitions.h"

#include "records/fleet_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

using wire::fleet_action;

constexpr std::size_t maximumOpenWaves = 16;
constexpr std::size_t maximumWaves = 24;

std::optional<std::vector<std::vector<std::string>>> parseBatches(const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array()) {
        return std::nullopt;
    }

    std::vector<std::vector<std::string>> batches;
    std::set<std::string> seen;
    for (const auto &batch : document) {
        if (!batch.is_array() || batch.empty()) {
            return std::nullopt;
        }
        auto &hosts = batches.emplace_back();
        for (const auto &host : batch) {
            if (!host.is_string() || !isFleetName(host.get<std::string>()) || !seen.insert(host.get<std::string>()).second) {
                return std::nullopt;
            }
            hosts.push_back(host.get<std::string>());
        }
    }
    return seen.size() <= maximumFleetHosts ? std::optional(std::move(batches)) : std::nullopt;
}

/** Removes the oldest closed wave, if there is one, to bound the number of waves in the state. */
void removeOldestClosedWave(fleet_state &state)
{
    auto oldest = state.waves.end();
    for (auto wave = state.waves.begin(); wave != state.waves.end(); ++wave) {
        if (!wave->second.isOpen() && (oldest == state.waves.end() || wave->second.planOffset < oldest->second.planOffset)) {
            oldest = wave;
        }
    }
    if (oldest != state.waves.end()) {
        state.waves.erase(oldest);
    }
}

bool isFinished(const maintenance_wave &wave)
{
    return std::all_of(wave.batches.begin(), wave.batches.end(), [&wave](const auto &batch) {
        return std::all_of(batch.begin(), batch.end(), [&wave](const auto &host) { return wave.completedHosts.contains(host); });
    });
}

} // namespace

std::optional<skip_reason> applyWavePlanned(fleet_state &state, const wire::fleet_record &record, log_offset offset)
{
    auto batches = parseBatches(record.detail);
    if (!batches || batches->empty() || !isFleetName(record.subject)) {
        return skip_reason::corrupt;
    }

    const auto found = state.waves.find(record.subject);
    if (found != state.waves.end()) {
        if (!found->second.isOpen() || found->second.version != record.epoch) {
            return skip_reason::stale_wave;
        }
        found->second.batches = std::move(*batches);
        ++found->second.version;
        return std::nullopt;
    }

    if (record.epoch != 0) {
        return skip_reason::unknown_wave;
    }
    const auto open = std::count_if(state.waves.begin(), state.waves.end(), [](const auto &wave) { return wave.second.isOpen(); });
    if (static_cast<std::size_t>(open) >= maximumOpenWaves) {
        return skip_reason::limit_reached;
    }
    if (state.waves.size() >= maximumWaves) {
        removeOldestClosedWave(state);
    }
    state.waves[record.subject] = {wave_state::planned, 1, std::move(*batches), {}, record.author, {}, {}, record.wallMilliseconds, offset};
    return std::nullopt;
}

std::optional<skip_reason> applyWaveChanged(fleet_state &state, const wire::fleet_record &record)
{
    const auto found = state.waves.find(record.subject);
    if (found == state.waves.end()) {
        return skip_reason::unknown_wave;
    }

    maintenance_wave &wave = found->second;
    const bool isStart = record.action == fleet_action::wave_started;
    const bool isPause = record.action == fleet_action::wave_paused;
    const bool isAllowed = isStart ? wave.state == wave_state::planned || wave.state == wave_state::paused
        : isPause                  ? wave.state == wave_state::running
                                   : wave.isOpen();
    if (!isAllowed || wave.version != record.epoch) {
        return skip_reason::stale_wave;
    }
    if (record.detail.size() > maximumFleetNameBytes || !isPlainFleetText(record.detail)) {
        return skip_reason::corrupt;
    }

    wave.state = isStart ? (isFinished(wave) ? wave_state::finished : wave_state::running) : isPause ? wave_state::paused : wave_state::aborted;
    wave.reason = record.detail;
    wave.changedBy = record.author;
    wave.changedWallMilliseconds = record.wallMilliseconds;
    ++wave.version;
    return std::nullopt;
}

std::optional<skip_reason> applyWaveHostDone(fleet_state &state, const wire::fleet_record &record)
{
    const auto found = state.waves.find(record.subject);
    if (found == state.waves.end()) {
        return skip_reason::unknown_wave;
    }

    maintenance_wave &wave = found->second;
    if (wave.state != wave_state::running && wave.state != wave_state::paused) {
        return skip_reason::stale_wave;
    }
    const bool isPlanned = std::any_of(wave.batches.begin(), wave.batches.end(),
                                       [&record](const auto &batch) { return std::find(batch.begin(), batch.end(), record.detail) != batch.end(); });
    if (!isPlanned) {
        return skip_reason::host_not_in_wave;
    }
    if (!wave.completedHosts.insert(record.detail).second) {
        return skip_reason::duplicate;
    }

    if (isFinished(wave)) {
        wave.state = wave_state::finished;
    }
    return std::nullopt;
}

} // namespace parsleyglade
