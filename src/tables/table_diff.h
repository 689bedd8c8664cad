#pragma once

#include "tables/joined_tables.h"

namespace parsleyglade {

/** What differs between two configurations, for operators. @see diffTables */
class table_diff
{
public:
    enum class change_kind {
        added,
        removed,
        changed,
    };

    /** A field's values, null where the entry does not exist. */
    struct field_change
    {
        std::string field;
        nlohmann::json before;
        nlohmann::json after;
    };

    /** One entry that differs. A host is an entry of its own, with its pool as a field, so a move between pools shows as one change. */
    struct entry_change
    {
        change_kind kind = change_kind::changed;
        std::string entry; /**< "route", "pool" or "host". */
        std::string name;
        std::vector<field_change> fields; /**< The changed fields; all fields of an added or removed entry. */
    };

    explicit table_diff(std::vector<entry_change> changes);

    /** Every change: routes, then pools, then hosts, each in order of name. */
    const std::vector<entry_change> &changes() const;

    bool isEmpty() const;

    /** One line for each changed entry and each changed field; "no differences" when there are none. */
    std::string text() const;

    /** {"changes":[{"kind","entry","name","fields":[{"field","before","after"}]}]} */
    nlohmann::json json() const;

private:
    std::vector<entry_change> m_changes;
};

/** The name of a kind of change. */
std::string_view name(table_diff::change_kind kind);

/** What has to change in the first tables to arrive at the second. */
table_diff diffTables(const tables &before, const tables &after);

} // namespace parsleyglade
