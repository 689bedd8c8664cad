#pragma once

/** Umbrella header of the wire module: generated messages and their codec. */

#include "wire/codec.h"
