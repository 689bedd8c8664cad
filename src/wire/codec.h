#pragma once

#include "core/outcome.h"
#include <parsleyglade/parsleyglade_types.h>

#include <string>
#include <string_view>

namespace parsleyglade {

/** Largest encoded message or record, in bytes. */
constexpr std::size_t maximumMessageBytes = std::size_t{4} * 1024 * 1024;

/** Encodes a generated type with Thrift's compact protocol. */
template <typename Message> std::string encode(const Message &message);

/** Decodes a whole message. Fails with corrupt_record on damaged, surplus or oversized bytes; never throws. */
template <typename Message> outcome<Message> decode(std::string_view bytes);

} // namespace parsleyglade
