#pragma once

#include <event2/buffer.h>

namespace parsleyglade {

/** Whether the buffer begins with a whole request head, up to its empty line. Empty lines before it, which clients may send, are removed. */
bool beginsWithCompleteHead(evbuffer *input);

} // namespace parsleyglade
