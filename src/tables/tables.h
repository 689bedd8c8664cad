#pragma once

/** Umbrella header of the tables module: the operators' routes and pools tables. */

#include "tables/joined_tables.h"
#include "tables/parse_tables.h"
#include "tables/pool.h"
#include "tables/pool_host.h"
#include "tables/pool_table.h"
#include "tables/route.h"
#include "tables/route_table.h"
#include "tables/table_diff.h"
#include "tables/urgency.h"
