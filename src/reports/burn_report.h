#pragma once

#include "reports/burn_document.h"
#include "reports/burn_summary.h"

#include <map>

namespace parsleyglade {

/**
 * Merges the documents of several entry hosts into one report.
 *
 * Documents are stored by entry host and incarnation, and only the newest document of each process is retained. The result is therefore
 * independent of the order and grouping of merges, and a document that is received twice is counted once.
 */
class burn_report
{
public:
    /** Adds a document, unless a newer one of the same process has been added. */
    void add(burn_document document);

    /**
     * Parses and adds the document that was received from an entry host. If the text is not a valid document of this entry host, lists the
     * entry host as missing and returns the failures; otherwise returns an empty list.
     */
    std::vector<failure> parseAndAdd(const std::string &entryHost, std::string_view text);

    /** Lists an entry host as missing, with a reason to display. Has no effect on the report while it has a document of this entry host. */
    void addMissing(const std::string &entryHost, const std::string &reason);

    /** Adds the documents and missing entry hosts of another report. */
    void merge(const burn_report &other);

    /** Returns the report at a time. Jobs that ended later, by the clock of an entry host that is ahead, are counted as ended at that time. */
    burn_summary summary(wall_time now) const;

private:
    std::map<std::pair<std::string, incarnation_id>, burn_document> m_documents; /**< Keyed by entry host and incarnation. */
    std::map<std::string, std::string> m_missing; /**< Reason by entry host. */
};

} // namespace parsleyglade
