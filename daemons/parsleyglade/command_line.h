#pragma once

#include "operator_client/operator_client.h"
#include <CLI/CLI.hpp>

#include <functional>

namespace parsleyglade {

/** The arguments of the operators' client, and the command that they name. */
class command_line
{
public:
    command_line();
    command_line(const command_line &) = delete;
    command_line &operator=(const command_line &) = delete;

    /** Parses the arguments. Returns the exit code if the process should end, after help or an error was written. */
    std::optional<exit_code> parse(int argc, char **argv);

    /** Runs the command. */
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
    command m_command; /**< Empty for validate, which needs no server. */

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
