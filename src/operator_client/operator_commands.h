#pragma once

#include "operator_client/admin_client.h"
#include "operator_client/command_output.h"
#include "operator_client/drain_target.h"
#include "operator_client/exit_code.h"
#include "operator_client/publish_options.h"
#include "operator_client/table_files.h"
#include "operator_client/wave_request.h"

#include <random>

namespace parsleyglade {

/**
 * The commands of the operators' client. Each writes its result and returns the exit code of the process.
 * @see docs/admin-interface.md for the requests and answers
 */
class operator_commands
{
public:
    /** The client and the streams must outlive the commands. @param random source of request identifiers */
    operator_commands(admin_client &client, command_output output, std::mt19937_64 random);

    /** Checks both tables without a server. */
    static exit_code validate(const table_files &files, const command_output &output);

    /** Checks and publishes both tables; shows how they differ from the current ones when another revision was published first. */
    exit_code publish(const table_files &files, const publish_options &options);

    /** Shows the current tables, and writes them to the files whose paths are not empty. */
    exit_code show(const table_files &files);

    /** Shows how the tables in the files differ from the current ones. */
    exit_code diff(const table_files &files);

    exit_code status();

    /** Starts a drain. */
    exit_code drain(const drain_target &target, const std::string &author, const std::string &reason);

    /** Ends every drain that names the target. */
    exit_code undrain(const drain_target &target);

    exit_code planWave(const wave_request &wave);

    /** @param action "start", "pause" or "abort" */
    exit_code changeWave(const std::string &id, const std::string &action);

    /** Shows how much of each service's budget is used, or writes the page to the file when its path is not empty. */
    exit_code reportBurn(const std::string &htmlFile);

private:
    /** The answer and its parsed body when the request succeeded; otherwise the exit code and failures. */
    struct request_result
    {
        exit_code code = exit_code::ok;
        admin_response response;
        nlohmann::json body;
        std::vector<failure> failures;
    };

    /** Asks, and writes the error if there is one. */
    request_result sendAndReport(const admin_request &request, bool expectsJson = true);

    request_result send(const admin_request &request, bool expectsJson);
    static outcome<tables> currentTables(const nlohmann::json &response);
    exit_code reportConflict(const request_result &conflict, const tables &published, revision_number baseRevision);
    exit_code waitForRollout(nlohmann::json result, revision_number revision, const publish_options &options);
    exit_code writeError(exit_code code, const std::vector<failure> &failures);
    exit_code writeResult(const nlohmann::json &document, const std::string &text);
    std::int64_t newIdentifier();

    admin_client &m_client;
    command_output m_output;
    std::mt19937_64 m_random;
};

} // namespace parsleyglade
