#include "core/core.h"
#include "raw_connection.h"
#include "transport/transport.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

peer_settings makeSettings(const std::string &name, const std::string &key)
{
    peer_settings settings;
    settings.entryHost = name;
    settings.incarnation = incarnation_id{static_cast<std::int64_t>(hash64(name))};
    settings.dataCentre = "le-chan";
    settings.sharedKey = key;
    settings.handshakeTimeout = 100ms;
    settings.silenceTimeout = 200ms;
    settings.reconnectDelay = 10ms;
    return settings;
}

wire::peer_message makeDocumentRequest(const std::string &name)
{
    wire::document_request wanted;
    wanted.document = name;
    wire::peer_message message;
    message.__set_document(wanted);
    return message;
}

struct peer_fixture
{
    explicit peer_fixture(const std::string &clientKey = "key")
        : serverSettings(makeSettings("server", "key"))
        , clientSettings(makeSettings("client", clientKey))
    {
    }

    void serve(const std::string &address)
    {
        server = std::make_unique<peer_server>(loop, serverSettings, address,
                                               [this](const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply) {
                                                   lastPeer = peer.entryHost;
                                                   if (message.document.document == "silent") {
                                                       return;
                                                   }
                                                   wire::document_reply document;
                                                   document.json = message.document.document;
                                                   wire::peer_message response;
                                                   response.__set_documentReply(document);
                                                   reply(response);
                                               });
        port = server->listen().value();
    }

    void run(duration time)
    {
        const auto end = loop.after(time, [this] { loop.stop(); });
        loop.run();
    }

    event_loop loop;
    peer_settings serverSettings;
    peer_settings clientSettings;
    std::unique_ptr<peer_server> server;
    std::uint16_t port = 0;
    std::string lastPeer;
};

} // namespace

// Guards against replies that are delivered to another request, and against requests that never complete.
TEST_CASE("requests receive their own replies, and fail when the peer does not reply or is closed")
{
    peer_fixture fixture;
    fixture.serve("127.0.0.1:0");
    const std::string address = "127.0.0.1:" + std::to_string(fixture.port);
    int readyCount = 0;
    peer_link link(fixture.loop, fixture.clientSettings, address, [&](bool ready) { readyCount += ready ? 1 : 0; });
    fixture.run(50ms);
    REQUIRE(link.isReady());
    CHECK(link.identity()->entryHost == "server");

    std::vector<std::string> replies;
    const auto record = [&](const outcome<wire::peer_message> &reply) {
        replies.push_back(reply ? reply->documentReply.json : std::string(name(reply.lastReason().code)));
    };
    link.request(makeDocumentRequest("silent"), 20ms, record);
    link.request(makeDocumentRequest("one"), 100ms, record);
    link.request(makeDocumentRequest("two"), 100ms, record);
    fixture.run(50ms);
    CHECK(replies == std::vector<std::string>{"one", "two", "peer_unreachable"});
    CHECK(fixture.lastPeer == "client");

    link.request(makeDocumentRequest("silent"), 10s, record);
    fixture.run(5ms);
    fixture.server.reset();
    fixture.run(30ms);
    REQUIRE(replies.size() == 4);
    CHECK(replies.back() == "peer_unreachable");
    CHECK_FALSE(link.isReady());

    fixture.serve(address);
    fixture.run(100ms);
    CHECK(link.isReady());
    CHECK(readyCount == 2);
}

// Guards against replies of a subscription that are taken for the reply to a request, and against replies after the connection was lost.
TEST_CASE("a subscription receives any number of replies until the link is lost")
{
    peer_fixture fixture;
    fixture.serve("127.0.0.1:0");
    const std::string address = "127.0.0.1:" + std::to_string(fixture.port);
    int lostCount = 0;
    peer_link link(fixture.loop, fixture.clientSettings, address, [&](bool ready) { lostCount += ready ? 0 : 1; });
    std::vector<std::string> received;
    const auto record = [&](const wire::peer_message &message) {
        received.push_back(message.documentReply.json);
    };
    wire::peer_message early = makeDocumentRequest("early");
    CHECK_FALSE(link.sendTo(link.subscribe(record), early));
    fixture.run(50ms);
    REQUIRE(link.isReady());

    const std::int64_t subscription = link.subscribe(record);
    std::string reply;
    for (const char *name : {"one", "two", "three"}) {
        wire::peer_message message = makeDocumentRequest(name);
        CHECK(link.sendTo(subscription, message));
        link.request(makeDocumentRequest("request"), 100ms,
                     [&](const outcome<wire::peer_message> &answer) { reply = answer ? answer->documentReply.json : ""; });
    }
    fixture.run(50ms);
    CHECK(received == std::vector<std::string>{"one", "two", "three"});
    CHECK(reply == "request");

    fixture.server.reset();
    fixture.run(30ms);
    CHECK(lostCount > 0);
    fixture.serve(address);
    fixture.run(100ms);
    REQUIRE(link.isReady());
    wire::peer_message late = makeDocumentRequest("late");
    CHECK_FALSE(link.sendTo(subscription, late));
    CHECK(received.size() == 3);
}

// Guards against unauthenticated clients on the port between entry hosts.
TEST_CASE("a peer without the shared key is rejected by both sides")
{
    peer_fixture fixture("another key");
    fixture.serve("127.0.0.1:0");
    peer_link link(fixture.loop, fixture.clientSettings, "127.0.0.1:" + std::to_string(fixture.port), [](bool) {});
    fixture.run(150ms);
    CHECK_FALSE(link.isReady());
    CHECK(fixture.lastPeer.empty());
}

// Guards against malformed, oversized or premature frames that reach the handler or keep a connection open.
TEST_CASE("invalid frames of an unauthenticated client close the session")
{
    peer_fixture fixture;
    fixture.serve("127.0.0.1:0");
    const std::string early = encode(makeDocumentRequest("early"));
    const std::string bytes = GENERATE_COPY(std::string("\x7f\xff\xff\xff", 4), std::string("\0\0\0\4abcd", 8),
                                            std::string("\0\0\0", 3) + static_cast<char>(early.size()) + early, std::string("\0", 1));
    test::raw_connection stranger(fixture.loop, fixture.port);
    stranger.send(bytes);
    stranger.receive({}, 400ms);
    CHECK(stranger.isClosed());
    CHECK(fixture.lastPeer.empty());
}
