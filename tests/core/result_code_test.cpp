#include "core/core.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;

// Guards against incomplete or unsorted rows of the table, and against a number that is assigned twice.
TEST_CASE("every result code has one row, in ascending order")
{
    int previous = -1;
    for (const result_code_row &row : resultCodeTable()) {
        CHECK(static_cast<int>(row.code) > previous);
        CHECK_FALSE(row.name.empty());
        CHECK_FALSE(row.remedy.empty());
        CHECK(resultCodeFromNumber(static_cast<int>(row.code)) == row.code);
        previous = static_cast<int>(row.code);
    }
}
