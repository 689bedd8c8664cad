#pragma once

#include "core/time_types.h"
#include "scheduler/run_key.h"
#include "scheduler/scheduler_action.h"
#include "wire/wire.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** A start order of an earlier leader that may be carried out although its run is over. */
struct restored_late_start
{
    std::string executor;
    std::int64_t boot = 0; /**< Of the executor, as last known. */
    run_key run;
    time_point until{}; /**< The order can no longer be carried out after this time. */
};

/**
 * Journal records of the start orders that may be carried out late although their runs are over, so that a successor goes on sending stops of these runs. The
 * progress of a job has only runs that may be alive. A record names the time that is left, because leaders have no clock in common; a successor counts it from
 * its takeover.
 */
class late_start_records
{
public:
    /** Whether the journal key is that of such a record. */
    static bool isKey(const std::string &key);

    /** Restores one record. Returns false if the value cannot be decoded. @param value empty for a removed record */
    bool restore(const std::string &key, const std::string &value);

    /** Returns the restored orders, counting the time that is left to them from now on. @pre all records were restored */
    std::vector<restored_late_start> takeRestored(time_point now);

    /** Adds an order. Replaces the one that is recorded of the same run. */
    void add(const restored_late_start &order);

    /** Removes the order of a run, because its response has come. */
    void remove(const run_key &run);

    /** Removes the orders that can no longer be carried out. */
    void removeExpired(time_point now);

    /** Writes all records anew with the next batch, because this leader resigns and the time that is left has become shorter. */
    void refresh();

    /** Whether the next batch must have records. */
    bool hasChanged() const;

    /** Adds the changed records to a batch. */
    void addTo(journal_batch &batch, time_point now);

private:
    std::map<std::string, wire::late_start_record> m_restored; /**< By journal key. */
    std::map<std::string, restored_late_start> m_orders; /**< By journal key. */
    std::set<std::string> m_changed; /**< Journal keys of the records to write or to remove. */
};

} // namespace parsleyglade
