#include "fleet/move_records.h"

#include "records/fleet_record_builder.h"

namespace parsleyglade {

std::vector<wire::fleet_record> moveRecords(const std::vector<move_decision> &decisions, std::int64_t writer, wall_time now,
                                            const std::function<std::int64_t()> &newRecordId)
{
    fleet_record_builder builder(writer);
    std::vector<wire::fleet_record> records;
    std::int64_t lastStart = 0;
    for (const move_decision &decision : decisions) {
        const std::int64_t id = newRecordId();
        builder.setIdentifierAndTime(id, now.time_since_epoch().count());
        if (decision.step == move_step::cancel) {
            records.push_back(builder.moveCancelled(decision.host, decision.epoch));
            continue;
        }
        records.push_back(builder.moveStarted(decision.host, decision.dataCentre, decision.fromPool, decision.toPool, decision.epoch,
                                              decision.expectedPlannedRecord == 0 ? lastStart : decision.expectedPlannedRecord));
        lastStart = id;
    }
    return records;
}

} // namespace parsleyglade
