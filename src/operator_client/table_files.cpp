#include "operator_client/table_files.h"

#include <fstream>

namespace parsleyglade {

outcome<std::string> readFile(const std::string &path, std::size_t maximumBytes)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return failure{result_code::invalid_value, path + ": cannot open the file", {}};
    }

    std::string text(maximumBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad()) {
        return failure{result_code::invalid_value, path + ": cannot read the file", {}};
    }

    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > maximumBytes) {
        return failure{result_code::table_too_large, path + ": the file is larger than " + std::to_string(maximumBytes) + " bytes", {}};
    }
    return text;
}

outcome<bool> writeFile(const std::string &path, const std::string &text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file.write(text.data(), static_cast<std::streamsize>(text.size()));
    file.close();
    if (!file) {
        return failure{result_code::invalid_value, path + ": cannot write the file", {}};
    }
    return true;
}

} // namespace parsleyglade
