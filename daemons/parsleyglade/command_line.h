#pragma once

#include "operator_client/operator_client.h"
#include <CLI/CLI.hpp>

#include <functional>

namespace parsleyglade {

/** Parses the command line of the operators' client and runs the selected command. */
class command_line
{
public:
    command_line();
    command_line(const command_line &) = delete;
    command_line &operator=(const command_line &) = delete;

    /** Parses the arguments. Returns an exit code if the process should end because help, the version or an error was written. */
    std::optional<exit_code> parse(int argc, char **argv);

    /** Runs the selected command and returns the exit code of the process. @pre parse() returned no exit code */
    exit_code run();

private:
    using command = std::function<exit_code(operator_commands &)>;

    void addTableCommands();
    void addHostCommands();
    void addMaintenanceCommands();
    void addReportCommands();
    CLI::App *addCommand(CLI::App &parent, const std::string &name, const std::string &help, command action);
    void addTableFiles(CLI::App &to);
    void addAuthor(CLI::App &to);
    void addDrainTarget(CLI::App &to);
    outcome<std::string> readToken() const;

    CLI::App m_app;
    command m_command; /**< Empty for the validate command, which needs no connection to an entry host. */

    std::vector<std::string> m_addresses;
    std::string m_tokenFile;
    double m_timeoutSeconds = 5.0;
    bool m_json = false;
    table_files m_files;
    publish_options m_publish;
    double m_waitSeconds = 30.0;
    drain_target m_drain;
    wave_request m_wave;
    std::string m_waveId;
    std::string m_author;
    std::string m_reason;
    std::string m_htmlFile;
};

} // namespace parsleyglade
