#include "runtime/runtime.h"

#include <array>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <functional>
#include <memory>
#include <sys/socket.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t bytesPerIteration = std::size_t{256} * 1024;
constexpr int setUpIterations = 2; // the first iterations learn which sockets are ready

struct transport_deleter
{
    void operator()(bufferevent *transport) const
    {
        bufferevent_free(transport);
    }
};

using transport_pointer = std::unique_ptr<bufferevent, transport_deleter>;

/** Two connected transports on one event loop, of which one receives a message. */
struct connected_transports
{
    explicit connected_transports(std::size_t bytes)
        : messageBytes(bytes)
    {
        std::array<int, 2> sockets{};
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
        const int sendBufferBytes = 4 * static_cast<int>(messageBytes);
        ::setsockopt(sockets[0], SOL_SOCKET, SO_SNDBUF, &sendBufferBytes, sizeof sendBufferBytes);
        sender.reset(bufferevent_socket_new(loop.base(), sockets[0], BEV_OPT_CLOSE_ON_FREE));
        receiver.reset(bufferevent_socket_new(loop.base(), sockets[1], BEV_OPT_CLOSE_ON_FREE));
        const auto onRead = [](bufferevent *, void *argument) {
            auto *self = static_cast<connected_transports *>(argument);
            if (evbuffer_get_length(bufferevent_get_input(self->receiver.get())) >= self->messageBytes) {
                self->loop.stop();
            }
        };
        const auto onEvent = [](bufferevent *, short, void *argument) {
            static_cast<connected_transports *>(argument)->onEnd();
        };
        bufferevent_setcb(receiver.get(), onRead, nullptr, onEvent, this);
        for (bufferevent *transport : {sender.get(), receiver.get()}) {
            allowBulkTransfer(transport);
            bufferevent_enable(transport, EV_READ | EV_WRITE);
        }
    }

    /** Sends a message and returns how many iterations of the event loop it takes until it has been received. */
    int countIterations()
    {
        const std::string message(messageBytes, 'x');
        bufferevent_write(sender.get(), message.data(), message.size());
        int iterations = 0;
        // A timer that is due runs once in each iteration.
        const auto counter = loop.every(1us, [&iterations] { ++iterations; });
        run(5s);
        return iterations;
    }

    /** Runs the event loop until it is stopped, for this time at most. */
    void run(duration time)
    {
        const auto timeout = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    std::size_t messageBytes;
    std::function<void()> onEnd = [] {
    };
    event_loop loop;
    transport_pointer sender;
    transport_pointer receiver;
};

} // namespace

// Pattern: a leader whose iterations of the event loop take 40 ms. Guards against a batch of the journal that takes ten of them, and a list of hosts that
// takes fifty, because libevent passes 16 KB out and 4 KB in at a time (SHORT, and the lists that LOST depends on).
TEST_CASE("a large message passes in a few iterations of the event loop")
{
    constexpr std::size_t messageBytes = bytesPerIteration / 2;
    connected_transports transports(messageBytes);
    const int iterations = transports.countIterations();
    constexpr int writing = 1;
    constexpr int reading = 1;
    CHECK(iterations <= setUpIterations + writing + reading);
    CHECK(evbuffer_get_length(bufferevent_get_input(transports.receiver.get())) == messageBytes);
}

// Guards against a message larger than the limit, such as a page of the journal, whose rest is read in pieces of 4 KB.
TEST_CASE("a message larger than the limit of an iteration passes in a few iterations of the event loop")
{
    // The kernel may take less than 256 KB at a time, but no less than 32 KB.
    constexpr std::size_t smallestPiece = std::size_t{32} * 1024;
    constexpr std::size_t messageBytes = 4 * bytesPerIteration;
    connected_transports transports(messageBytes);
    const int iterations = transports.countIterations();
    CHECK(iterations <= setUpIterations + 2 * static_cast<int>(messageBytes / smallestPiece));
    CHECK(evbuffer_get_length(bufferevent_get_input(transports.receiver.get())) == messageBytes);
}

// Guards against a connection whose end is missed because the last bytes were read on beyond the buffer event.
TEST_CASE("the end of a connection is reported after a large message")
{
    constexpr std::size_t messageBytes = bytesPerIteration / 2;
    connected_transports transports(messageBytes);
    bool hasEnded = false;
    transports.onEnd = [&] {
        hasEnded = true;
        transports.loop.stop();
    };
    transports.countIterations();
    transports.sender.reset();
    transports.run(1s);
    CHECK(hasEnded);
    CHECK(evbuffer_get_length(bufferevent_get_input(transports.receiver.get())) == messageBytes);
}
