#pragma once

#include "runtime/event_loop.h"

#include <functional>
#include <optional>

namespace parsleyglade {

/** Calls start(callback) and runs the loop until the callback is called, for at most ten seconds. Returns the argument of the callback, if any. */
template <typename Result> std::optional<Result> runUntilDone(event_loop &loop, const std::function<void(std::function<void(Result)>)> &start)
{
    std::optional<Result> result;
    start([&](Result value) {
        result = std::move(value);
        loop.stop();
    });
    const auto timeoutTimer = loop.after(std::chrono::seconds{10}, [&] { loop.stop(); });
    loop.run();
    return result;
}

/** Runs the loop for the given time. */
inline void runFor(event_loop &loop, duration time)
{
    const auto end = loop.after(time, [&] { loop.stop(); });
    loop.run();
}

} // namespace parsleyglade
