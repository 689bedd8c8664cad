#pragma once

#include <cstddef>
#include <vector>

namespace parsleyglade::measure {

/** Recovery of an empty coordinator at one number of claims. */
struct recovery_result
{
    std::size_t claims = 0;
    std::size_t records = 0; /**< Log records read by the replay. */
    double replayMilliseconds = 0; /**< Real time to fold every record from the start of the stream. */
    double snapshotMilliseconds = 0; /**< Real time to start from a snapshot of the same state, chunks read and loaded. */
    double encodeMilliseconds = 0; /**< Real time to make the snapshot's parts, during which a coordinator does nothing else. */
    double snapshotBytes = 0;
    double memoryBytes = 0; /**< Heap in use after the replay. */
};

/** A straight line through measured points. */
struct linear_fit
{
    double perClaim = 0;
    double intercept = 0;
};

/** Measures a recovery, the least of three runs; claims come 16 to a record, and the completions too. */
recovery_result measureRecovery(std::size_t claims);

/** Least squares fit. */
linear_fit fitLine(const std::vector<double> &claims, const std::vector<double> &values);

} // namespace parsleyglade::measure
