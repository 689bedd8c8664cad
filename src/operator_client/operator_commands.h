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
 * Implements the commands of the operators' client. Each command writes its result or its errors to the output and returns the exit code of
 * the process.
 * @see docs/admin-interface.md for the requests and responses
 */
class operator_commands
{
public:
    /**
     * The client and the streams of the output must outlive this object.
     * @param random generates the request identifiers; must be seeded differently in each process
     */
    operator_commands(admin_client &client, command_output output, std::mt19937_64 random);

    /** Checks both tables locally, without contacting an entry host. */
    static exit_code validate(const table_files &files, const command_output &output);

    /**
     * Checks and publishes both tables. If another revision was published first, shows how the tables differ from the current ones and returns
     * revision_conflict.
     */
    exit_code publish(const table_files &files, const publish_options &options);

    /** Shows the current tables, and writes each of them to its file if the path is not empty. */
    exit_code show(const table_files &files);

    /** Shows how the tables in the files differ from the current ones. */
    exit_code diff(const table_files &files);

    /** Shows entry hosts, hosts, drains, waves and refusals. */
    exit_code status();

    /** Shows what each team uses, may use and waits for, as the leader of the deployment knows it. */
    exit_code teams();

    /** Starts a drain of a host, rack or data centre. */
    exit_code drain(const drain_target &target, const std::string &author, const std::string &reason);

    /** Ends every drain whose kind and subject equal the target. Returns refused if there is none. */
    exit_code undrain(const drain_target &target);

    /** Plans a maintenance wave and shows its steps. */
    exit_code planWave(const wave_request &wave);

    /**
     * Starts, resumes, pauses or aborts a maintenance wave.
     * @param action "start" (which also resumes), "pause" or "abort"
     */
    exit_code changeWave(const std::string &id, const std::string &action);

    /** Shows how much of each service's availability budget is used, or writes the report as HTML to the file if the path is not empty. */
    exit_code reportBurn(const std::string &htmlFile);

private:
    /** The response and its parsed body if the request succeeded, otherwise the exit code and the failures. */
    struct request_result
    {
        exit_code code = exit_code::ok;
        admin_response response;
        nlohmann::json body;
        std::vector<failure> failures;
    };

    /** Sends a request and writes the failures to the output if it doesn't succeed. */
    request_result sendAndReport(const admin_request &request, bool expectsJson = true);

    /** Sends a request without writing anything. @param expectsJson whether a successful response must be a JSON object */
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
