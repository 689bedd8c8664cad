#include "core/core.h"
#include "source_file.h"

#include <catch2/catch.hpp>
#include <sstream>

using namespace parsleyglade;

// Guards against documentation that omits a result code, or has another number, status or remedy than the table.
TEST_CASE("docs/result-codes.md lists every result code as in the table")
{
    std::string expected;
    for (const result_code_row &row : resultCodeTable()) {
        expected += "| " + std::to_string(static_cast<int>(row.code)) + " | `" + std::string(row.name) + "` | " + std::to_string(row.httpStatus) + " | "
            + std::string(row.remedy) + " |\n";
    }

    std::string listed;
    std::istringstream page(readSourceFile("docs/result-codes.md"));
    for (std::string line; std::getline(page, line);) {
        if (line.size() > 2 && line.starts_with("| ") && line[2] >= '0' && line[2] <= '9') {
            listed += line + "\n";
        }
    }
    CHECK(listed == expected);
}
