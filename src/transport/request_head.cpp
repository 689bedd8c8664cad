#include "transport/request_head.h"

#include <string_view>

namespace parsleyglade {

namespace {

bool contains(evbuffer *input, std::string_view text)
{
    return evbuffer_search(input, text.data(), text.size(), nullptr).pos >= 0;
}

void removeLeadingLineEnds(evbuffer *input)
{
    char first = 0;
    while (evbuffer_copyout(input, &first, sizeof(first)) == sizeof(first) && (first == '\r' || first == '\n')) {
        evbuffer_drain(input, sizeof(first));
    }
}

} // namespace

bool beginsWithCompleteHead(evbuffer *input)
{
    removeLeadingLineEnds(input);
    return contains(input, "\n\r\n") || contains(input, "\n\n");
}

} // namespace parsleyglade
