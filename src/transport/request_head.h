#pragma once

#include <event2/buffer.h>

namespace parsleyglade {

/** Whether the buffer begins with a complete request head: request line, headers and the empty line that ends them.
    Removes empty lines before the head, which clients may send. */
bool beginsWithCompleteHead(evbuffer *input);

} // namespace parsleyglade
