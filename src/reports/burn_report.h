#pragma once

#include "reports/burn_document.h"
#include "reports/burn_summary.h"

#include <map>

namespace parsleyglade {

/**
 * Merges the documents of several entry hosts.
 *
 * The documents are kept apart by entry host and incarnation, and of the same process the newest counts. So the order and grouping of
 * merges do not matter, and a document that arrives twice counts once.
 */
class burn_report
{
public:
    /** Adds a document. */
    void add(burn_document document);

    /**
     * Reads and adds the document that an entry host handed out. When it is no valid document of this entry host, names the entry host as
     * missing and returns the failures.
     */
    std::vector<failure> parseAndAdd(const std::string &entryHost, std::string_view text);

    /** Names an entry host that could not be asked. It is shown as missing unless a document of it is there. */
    void addMissing(const std::string &entryHost, const std::string &reason);

    /** Adds all that another report holds. */
    void merge(const burn_report &other);

    /** The report at a moment. Ends that lie after it, as from an entry host whose clock is ahead, count as of the moment. */
    burn_summary summary(wall_time now) const;

private:
    std::map<std::pair<std::string, incarnation_id>, burn_document> m_documents;
    std::map<std::string, std::string> m_missing;
};

} // namespace parsleyglade
