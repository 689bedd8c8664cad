#include "wire/codec.h"

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <optional>

namespace parsleyglade {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr int maximumRecursion = 16;

std::shared_ptr<apache::thrift::TConfiguration> thriftConfiguration()
{
    static const auto configuration
        = std::make_shared<apache::thrift::TConfiguration>(static_cast<int>(maximumMessageBytes), static_cast<int>(maximumMessageBytes), maximumRecursion);
    return configuration;
}

failure corruptRecord(std::string reason)
{
    return {result_code::corrupt_record, std::move(reason), {}};
}

/** Reads a complete message. Returns why the bytes are not one, or nothing. */
template <typename Message> std::optional<std::string> readMessage(std::string_view bytes, Message &message)
{
    if (bytes.empty() || bytes.size() > maximumMessageBytes) {
        return "the message is empty or exceeds the size limit";
    }

    try {
        // TMemoryBuffer requires a mutable pointer, but does not modify the bytes in OBSERVE mode.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        const auto buffer = std::make_shared<TMemoryBuffer>(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE, thriftConfiguration());
        TCompactProtocolT<TMemoryBuffer> protocol(buffer, static_cast<int>(bytes.size()), static_cast<int>(bytes.size()));
        message.read(&protocol);
        if (buffer->available_read() != 0) {
            return "the message has trailing bytes";
        }
    } catch (const std::exception &error) {
        return std::string("the message can't be decoded: ") + error.what();
    }
    return std::nullopt;
}

} // namespace

template <typename Message> std::string encode(const Message &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>(thriftConfiguration());
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename Message> outcome<Message> decode(std::string_view bytes)
{
    // The generated types can only be copied, so the message is read where it is returned.
    outcome<Message> result{Message()};
    if (const auto fault = readMessage(bytes, *result)) {
        result = corruptRecord(*fault);
    }
    return result;
}

template std::string encode(const wire::claim_batch &);
template std::string encode(const wire::configuration_record &);
template std::string encode(const wire::fleet_record &);
template std::string encode(const wire::peer_message &);
template std::string encode(const wire::work_record &);
template std::string encode(const wire::progress_record &);
template std::string encode(const wire::batch_record &);
template std::string encode(const wire::host_record &);
template std::string encode(const wire::lease_record &);
template std::string encode(const wire::late_start_record &);
template outcome<wire::claim_batch> decode(std::string_view);
template outcome<wire::configuration_record> decode(std::string_view);
template outcome<wire::fleet_record> decode(std::string_view);
template outcome<wire::peer_message> decode(std::string_view);
template outcome<wire::work_record> decode(std::string_view);
template outcome<wire::progress_record> decode(std::string_view);
template outcome<wire::batch_record> decode(std::string_view);
template outcome<wire::host_record> decode(std::string_view);
template outcome<wire::lease_record> decode(std::string_view);
template outcome<wire::late_start_record> decode(std::string_view);

} // namespace parsleyglade
