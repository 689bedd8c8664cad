#pragma once

#include "core/outcome.h"
#include <parsleyglade/parsleyglade_types.h>

#include <string>
#include <string_view>

namespace parsleyglade {

/** Maximum size of an encoded message or record, in bytes. */
constexpr std::size_t maximumMessageBytes = std::size_t{4} * 1024 * 1024;

/** Encodes a generated type with Thrift's compact protocol. Instantiated in codec.cpp for peer messages and for each type of record. */
template <typename Message> std::string encode(const Message &message);

/**
 * Decodes one complete message. Fails with corrupt_record if the bytes are malformed or empty, exceed maximumMessageBytes, or are followed
 * by trailing bytes. Never throws.
 */
template <typename Message> outcome<Message> decode(std::string_view bytes);

} // namespace parsleyglade
