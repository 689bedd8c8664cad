#pragma once

/** Umbrella header of the wire module: generated messages, their codec, and amounts of resources. */

#include "wire/codec.h"
#include "wire/resources.h"
