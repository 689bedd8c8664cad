#include "measurement_registry.h"
#include "wire/wire.h"

namespace parsleyglade {

namespace {

/** A heartbeat between entry hosts, within its wire::peer_message. Its size is the number of endpoint loads. */
class heartbeat_measurement final : public measurement
{
public:
    std::string name() const override
    {
        return "heartbeat";
    }

    std::string sizeUnit() const override
    {
        return "endpoint loads";
    }

    std::vector<std::size_t> sizes() const override
    {
        return {0, 32, 64, 128};
    }

    void build(std::size_t size) override
    {
        m_message.__isset.beat = true;
        wire::heartbeat &beat = m_message.beat;
        beat.loads.reserve(size);
        beat.incarnation = 0x123456789abcdef;
        beat.configurationRevision = 1'600;
        beat.configurationOffset = 1'700;
        beat.configurationDigest = std::string(32, 'd');
        beat.fleetOffset = 12'000;
        beat.ready = true;
        beat.logReachable = true;
        beat.sentMicroseconds = 1'796'342'400'000'000;
        for (std::size_t index = 0; index < size; ++index) {
            wire::endpoint_load load;
            load.host = "host-of-a-service-" + std::to_string(index);
            load.inFlight = static_cast<std::int32_t>(index % 64);
            load.longInFlight = static_cast<std::int32_t>(index % 4);
            beat.loads.push_back(load);
        }
    }

    void release() override
    {
        m_message = wire::peer_message();
        m_bytes = {};
    }

    std::vector<operation> operations() override
    {
        m_bytes = encode(m_message);
        return {{"encode",
                 [this] {
                     return encode(m_message).size();
                 }},
                {"decode", [this] {
                     return decode<wire::peer_message>(m_bytes).hasValue() ? std::size_t{0} : std::size_t{1};
                 }}};
    }

private:
    wire::peer_message m_message;
    std::string m_bytes;
};

const measurement_registry::registration registration(std::make_unique<heartbeat_measurement>());

} // namespace

} // namespace parsleyglade
