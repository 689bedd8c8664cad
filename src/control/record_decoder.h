#pragma once

#include "core/outcome.h"
#include "scheduler/executor_description.h"
#include "scheduler/host_description.h"
#include "scheduler/queue_configuration.h"
#include "scheduler/scheduler_action.h"

#include <string>

namespace parsleyglade {

/** Decodes the records that operators and executors write to the platform's log, and encodes the status of waves. Malformed values are returned as
    failures. */
class record_decoder
{
public:
    record_decoder() = default;
    record_decoder(const record_decoder &) = delete;
    record_decoder &operator=(const record_decoder &) = delete;
    virtual ~record_decoder() = default;

    /** Whether a record of the operators' topic with this key contains the configuration. */
    virtual bool isConfiguration(const std::string &key) const = 0;

    virtual outcome<queue_configuration> decodeConfiguration(const std::string &value) const = 0;

    /** Whether a record of the operators' topic with this key contains a maintenance wave. */
    virtual bool isWave(const std::string &key) const = 0;

    virtual outcome<wave_request> decodeWave(const std::string &value) const = 0;

    /** The record of the status topic that reports to the operator whether the wave is completed. */
    virtual journal_entry encodeWaveStatus(std::int64_t wave, bool isCompleted) const = 0;

    /** Decodes a record of the registry. @param key ID of the executor */
    virtual outcome<executor_description> decodeExecutor(const std::string &key, const std::string &value) const = 0;
};

} // namespace parsleyglade
