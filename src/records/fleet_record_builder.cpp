#include "records/fleet_record_builder.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

using wire::fleet_action;

fleet_record_builder::fleet_record_builder(std::int64_t writer)
    : m_writer(writer)
{
}

fleet_record_builder &fleet_record_builder::setIdentifierAndTime(std::int64_t record, std::int64_t wallMilliseconds)
{
    m_record = record;
    m_wallMilliseconds = wallMilliseconds;
    return *this;
}

wire::fleet_record fleet_record_builder::make(fleet_action::type action, const std::string &subject, std::int64_t epoch) const
{
    wire::fleet_record record;
    record.action = action;
    record.writer = m_writer;
    record.record = m_record;
    record.subject = subject;
    record.epoch = epoch;
    record.wallMilliseconds = m_wallMilliseconds;
    return record;
}

wire::fleet_record fleet_record_builder::registered(const std::string &entryHost, const std::string &dataCentre, const std::string &region,
                                                    std::int64_t registrationCount) const
{
    wire::fleet_record record = make(fleet_action::entry_registered, entryHost, registrationCount);
    record.dataCentre = dataCentre;
    record.region = region;
    return record;
}

wire::fleet_record fleet_record_builder::retired(const std::string &entryHost, std::int64_t incarnation, const std::string &author) const
{
    wire::fleet_record record = make(fleet_action::entry_retired, entryHost, incarnation);
    record.author = author;
    return record;
}

wire::fleet_record fleet_record_builder::drainStarted(drain_scope scope, const std::string &subject, const std::string &author,
                                                      std::int64_t expectedPlannedRecord) const
{
    wire::fleet_record record = make(fleet_action::drain_started, subject, expectedPlannedRecord);
    record.detail = scope == drain_scope::host ? "host" : scope == drain_scope::rack ? "rack" : "data-centre";
    record.author = author;
    return record;
}

wire::fleet_record fleet_record_builder::drainEnded(std::int64_t drain, const std::string &author) const
{
    wire::fleet_record record = make(fleet_action::drain_ended, {}, drain);
    record.author = author;
    return record;
}

wire::fleet_record fleet_record_builder::moveStarted(const std::string &host, const std::string &dataCentre, const std::string &fromPool,
                                                     const std::string &toPool, std::int64_t epoch, std::int64_t expectedPlannedRecord) const
{
    wire::fleet_record record = make(fleet_action::move_started, host, epoch);
    record.dataCentre = dataCentre;
    record.fromPool = fromPool;
    record.toPool = toPool;
    record.detail = std::to_string(expectedPlannedRecord);
    return record;
}

wire::fleet_record fleet_record_builder::moveAcknowledged(const std::string &host, std::int64_t epoch) const
{
    return make(fleet_action::move_acknowledged, host, epoch);
}

wire::fleet_record fleet_record_builder::moveJoined(const std::string &host, std::int64_t epoch) const
{
    return make(fleet_action::move_joined, host, epoch);
}

wire::fleet_record fleet_record_builder::moveCancelled(const std::string &host, std::int64_t epoch) const
{
    return make(fleet_action::move_cancelled, host, epoch);
}

wire::fleet_record fleet_record_builder::wavePlanned(const std::string &wave, const std::vector<std::vector<std::string>> &batches, std::int64_t version,
                                                     const std::string &author) const
{
    wire::fleet_record record = make(fleet_action::wave_planned, wave, version);
    record.detail = nlohmann::json(batches).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    record.author = author;
    return record;
}

wire::fleet_record fleet_record_builder::waveChanged(fleet_action::type action, const std::string &wave, std::int64_t version, const std::string &author,
                                                     const std::string &reason) const
{
    wire::fleet_record record = make(action, wave, version);
    record.author = author;
    record.detail = reason;
    return record;
}

wire::fleet_record fleet_record_builder::waveHostDone(const std::string &wave, const std::string &host) const
{
    wire::fleet_record record = make(fleet_action::wave_host_done, wave, 0);
    record.detail = host;
    return record;
}

} // namespace parsleyglade
