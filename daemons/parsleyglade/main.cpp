#include "command_line.h"

#include <iostream>

/** Entry point of the operators' client. Returns a parsleyglade::exit_code. */
int main(int argc, char *argv[])
{
    try {
        parsleyglade::command_line arguments;
        const auto exitCode = arguments.parse(argc, argv);
        return static_cast<int>(exitCode ? *exitCode : arguments.run());
    } catch (const std::exception &error) {
        std::cerr << "parsleyglade: " << error.what() << '\n';
        return static_cast<int>(parsleyglade::exit_code::unexpected_response);
    }
}
