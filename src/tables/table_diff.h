#pragma once

#include "tables/joined_tables.h"

namespace parsleyglade {

/** The differences between two configurations, as text for operators and as JSON for programs. @see diffTables */
class table_diff
{
public:
    enum class change_kind {
        added,
        removed,
        changed,
    };

    /** The values of one field before and after the change; null where the entry does not exist. */
    struct field_change
    {
        std::string field;
        nlohmann::json before;
        nlohmann::json after;
    };

    /** One changed entry. A host is an entry of its own with its pool as a field, so a move between pools is reported as one change. */
    struct entry_change
    {
        change_kind kind = change_kind::changed;
        std::string entry; /**< "route", "pool" or "host". */
        std::string name;
        std::vector<field_change> fields; /**< The changed fields; all fields of an added or removed entry. */
    };

    explicit table_diff(std::vector<entry_change> changes);

    /** Returns all changes: first routes, then pools, then hosts, each ordered by name. */
    const std::vector<entry_change> &changes() const;

    bool isEmpty() const;

    /** Returns one line for each changed entry and each changed field, or "no differences" if there are none. */
    std::string text() const;

    /** Returns the changes as {"changes":[{"kind","entry","name","fields":[{"field","before","after"}]}]}. */
    nlohmann::json json() const;

private:
    std::vector<entry_change> m_changes;
};

/** Returns the name of the kind as it appears in the text and the JSON of a diff. */
std::string_view name(table_diff::change_kind kind);

/** Returns the changes that turn the first tables into the second. */
table_diff diffTables(const tables &before, const tables &after);

} // namespace parsleyglade
