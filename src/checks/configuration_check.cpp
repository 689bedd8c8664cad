#include "checks/configuration_check.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <set>

namespace parsleyglade {

namespace {

/** Collects the findings about one configuration. */
class configuration_checker
{
public:
    explicit configuration_checker(const queue_configuration &configuration)
        : m_configuration(configuration)
    {
        for (const service_policy &service : configuration.services) {
            m_services.try_emplace(service.name, &service);
        }
    }

    std::vector<configuration_finding> run()
    {
        for (std::size_t number = 0; number < m_configuration.queues.size(); ++number) {
            checkQueue(number, m_configuration.queues[number]);
        }
        for (std::size_t number = 0; number < m_configuration.services.size(); ++number) {
            checkService(number, m_configuration.services[number]);
        }
        for (std::size_t number = 0; number < m_configuration.teams.size(); ++number) {
            checkTeam(number, m_configuration.teams[number]);
        }
        return std::move(m_findings);
    }

private:
    using section = configuration_section;
    using field = configuration_field;

    void error(section list, std::size_t index, field where, std::string text)
    {
        m_findings.push_back({finding_severity::error, list, index, where, std::move(text)});
    }

    void warn(section list, std::size_t index, field where, std::string text)
    {
        m_findings.push_back({finding_severity::warning, list, index, where, std::move(text)});
    }

    void checkName(section list, std::size_t index, const std::string &name)
    {
        if (name.empty()) {
            error(list, index, field::name, "the name is missing. Add one");
        } else if (!m_names[list].insert(name).second) {
            error(list, index, field::name, "the name \"" + name + "\" is used before; this entry takes no effect. Rename or remove it");
        }
    }

    void checkQueue(std::size_t index, const queue_policy &queue)
    {
        checkName(section::queues, index, queue.name);
        checkMatching(index, queue);
        const auto service = m_services.find(queue.service);
        if (service == m_services.end()) {
            error(section::queues, index, field::service,
                  "there is no service \"" + queue.service + "\", so no job of the queue ever runs. Name a service of the list");
        } else if (service->second->standby) {
            error(section::queues, index, field::service,
                  "the hosts of service \"" + queue.service + "\" are switched off. Name a service that is not on standby");
        }
        checkLimits(index, queue);
        if (m_configuration.needsKey(queue) && m_configuration.keys.size() == 0) {
            error(section::queues, index, field::is_public,
                  "the queue needs a key and no team has one, so nobody can call it. Add a key, or make the queue public");
        }
    }

    /** Finds queues that no request matches: requests have a host name without a port, and a path that begins with a slash. */
    void checkMatching(std::size_t index, const queue_policy &queue)
    {
        const bool isUpperCase = std::any_of(queue.host.begin(), queue.host.end(), [](unsigned char character) { return std::isupper(character) != 0; });
        if (queue.host.empty() || queue.host.find_first_of(":/ ") != std::string::npos) {
            error(section::queues, index, field::host, "no request has the host \"" + queue.host + "\". Give a host name without a port");
        } else if (isUpperCase) {
            warn(section::queues, index, field::host, "the host is compared with its case, and callers mostly send lower case. Write it in lower case");
        }
        if (!queue.pathPrefix.starts_with('/')) {
            error(section::queues, index, field::path_prefix, "no path begins with \"" + queue.pathPrefix + "\". Begin it with a slash");
        } else if (!queue.pathPrefix.ends_with('/')) {
            warn(section::queues, index, field::path_prefix, "the ID of a job follows the prefix directly. End it with a slash");
        }
        const auto [same, isNew] = m_prefixes.try_emplace({queue.host, queue.pathPrefix}, queue.name);
        if (!isNew) {
            error(section::queues, index, field::path_prefix,
                  "queue \"" + same->second + "\" has the same host and prefix and gets all requests. Change the prefix, or remove one of the two");
        }
    }

    void checkLimits(std::size_t index, const queue_policy &queue)
    {
        if (queue.maximumAttempts < 1) {
            error(section::queues, index, field::maximum_attempts, "a job has no attempt. Permit one at least");
        }
        if (queue.stretch < 1.0) {
            error(section::queues, index, field::stretch, "the objective is shorter than the work of a job, so every job is late. Use 1 at least");
        } else if (queue.stretch == 1.0 && queue.targetMilliseconds == 0) {
            warn(section::queues, index, field::target, "the objective leaves no time beside the work of a job. Raise the stretch or the target");
        }
        if (queue.targetMilliseconds < 0) {
            error(section::queues, index, field::target, "the target is negative. Use 0 at least");
        }
        if (queue.advice && queue.advice->validMilliseconds <= queue.advice->decisionMilliseconds + queue.advice->perExecutorMilliseconds) {
            error(section::queues, index, field::advice, "advice expires before the next advice can be given, so no start is in time. Raise its validity");
        }
    }

    void checkService(std::size_t index, const service_policy &service)
    {
        checkName(section::services, index, service.name);
        const bool isUsed = std::any_of(m_configuration.queues.begin(), m_configuration.queues.end(),
                                        [&](const queue_policy &queue) { return queue.service == service.name; });
        if (!isUsed && !service.standby) {
            warn(section::services, index, field::entry, "no queue uses the service, so its hosts serve nobody. Put it on standby, or remove it");
        }
    }

    void checkTeam(std::size_t index, const team_policy &team)
    {
        checkName(section::teams, index, team.name);
        if (team.keyDigests.empty()) {
            warn(section::teams, index, field::keys, "the team has no key and can't call. Add one, unless all its keys are to be withdrawn");
        }
        std::set<std::string> own;
        for (const std::string &digest : team.keyDigests) {
            const auto [owner, isNew] = m_keys.try_emplace(digest, team.name);
            if (!own.insert(digest).second) {
                warn(section::teams, index, field::keys, "a key of the team is listed twice. Remove one");
            } else if (!isNew) {
                error(section::teams, index, field::keys,
                      "a key belongs to team \"" + owner->second + "\" too, which gets its calls. Give each team keys of its own");
            }
        }
        if (team.weight <= 0.0) {
            warn(section::teams, index, field::weight,
                 "without a positive weight the team has no limit of its rate, and the smallest share of a full pool. Set one");
        }
        if (team.cap.cpuMillicores < 0 || team.cap.memoryMegabytes < 0 || team.cap.accelerators < 0) {
            error(section::teams, index, field::cap, "a cap is negative, so nothing of the team runs. Use 0 for no limit");
        }
    }

    const queue_configuration &m_configuration;
    std::map<std::string, const service_policy *> m_services;
    std::map<section, std::set<std::string>> m_names;
    std::map<std::pair<std::string, std::string>, std::string> m_prefixes; /**< Queues by host and prefix. */
    std::map<std::string, std::string> m_keys; /**< Teams by digest. */
    std::vector<configuration_finding> m_findings;
};

} // namespace

std::vector<configuration_finding> checkConfiguration(const queue_configuration &configuration)
{
    return configuration_checker(configuration).run();
}

} // namespace parsleyglade
