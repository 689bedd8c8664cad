#pragma once

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

/** Returns the contents of a file of the source tree. The path is relative to the repository's root; the result is empty if the file can't be read. */
inline std::string readSourceFile(const std::string &path)
{
    const auto root = std::filesystem::path(__FILE__).parent_path().parent_path().parent_path();
    std::ifstream file(root / path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
