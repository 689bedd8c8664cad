#pragma once

#include "deployment.h"

namespace review {

/** Result of a case, as the exit status of its script. */
enum class outcome {
    held = 0,
    broken = 1,
    not_run = 2,
};

/** A gang that no service has room for waits in the queue of higher priority. Rule LOST. */
outcome playGangWithoutRoom(deployment &world, bool isDisturbed);

/** The rack on which a whole gang runs is lost. Rule UNASKED. */
outcome playGangCheckpoints(deployment &world, bool isDisturbed);

/** An executor fails all that it starts, and a whole gang runs there. Rule LOST. */
outcome playGangFailures(deployment &world, bool isDisturbed);

/** The leader is stopped in order after two waves of upkeep for the same machines. Rule LOST. */
outcome playSecondWave(deployment &world, bool isDisturbed);

/** An executor loses power and starts again under its id before the leader knows. Rule TWICE. */
outcome playForgottenEnd(deployment &world, bool isDisturbed);

} // namespace review
