#pragma once

#include <cstddef>
#include <vector>

namespace parsleyglade::measure {

/** Costs of the recovery of an empty coordinator for one number of claims. Times are real, not virtual. */
struct recovery_result
{
    std::size_t claims = 0;
    std::size_t records = 0; /**< Log records that the replay reads. */
    double replayMilliseconds = 0; /**< To fold every record from the start of the stream. */
    double snapshotMilliseconds = 0; /**< To recover the same state from a snapshot, including reading and loading its chunks. */
    double encodeMilliseconds = 0; /**< To encode the parts of the snapshot; a coordinator is blocked for this time. */
    double snapshotBytes = 0; /**< All parts together, before they are wrapped in records. */
    double memoryBytes = 0; /**< Growth of the heap in use by the replay. */
};

/** A straight line through measured values, by number of claims. */
struct linear_fit
{
    double perClaim = 0; /**< Slope. */
    double intercept = 0; /**< Value at no claims. */
};

/** Measures a recovery; each time is the least of three runs. Every claim is completed; a log record has 16 claims or 16 completions. */
recovery_result measureRecovery(std::size_t claims);

/** Fits a line by least squares. @pre Both lists have the same size, with at least two different numbers of claims. */
linear_fit fitLine(const std::vector<double> &claims, const std::vector<double> &values);

} // namespace parsleyglade::measure
