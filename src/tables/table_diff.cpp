#include "tables/table_diff.h"

#include <cassert>
#include <map>

namespace parsleyglade {

namespace {

using entries = std::map<std::string, nlohmann::json>;

entries routesByName(const tables &source)
{
    entries result;
    for (const route &each : source.routes().routes()) {
        result.emplace(each.name, toJson(each));
    }
    return result;
}

entries poolsByName(const tables &source)
{
    entries result;
    for (const pool &each : source.pools().pools()) {
        nlohmann::json fields = toJson(each);
        fields.erase("hosts");
        result.emplace(each.name, std::move(fields));
    }
    return result;
}

entries hostsByName(const tables &source)
{
    entries result;
    for (const pool &owner : source.pools().pools()) {
        for (const pool_host &each : owner.hosts) {
            nlohmann::json fields = toJson(each);
            fields["pool"] = owner.name;
            result.emplace(each.host, std::move(fields));
        }
    }
    return result;
}

/** Returns the fields that differ. Both objects have the same keys, or one of them is null. */
std::vector<table_diff::field_change> compareFields(const nlohmann::json &before, const nlohmann::json &after)
{
    std::vector<table_diff::field_change> fields;
    for (const auto &item : (before.is_null() ? after : before).items()) {
        nlohmann::json valueBefore = before.is_null() ? nlohmann::json() : before.at(item.key());
        nlohmann::json valueAfter = after.is_null() ? nlohmann::json() : after.at(item.key());
        if (valueBefore != valueAfter) {
            fields.push_back({item.key(), std::move(valueBefore), std::move(valueAfter)});
        }
    }
    return fields;
}

void compareEntries(const std::string &entry, const entries &before, const entries &after, std::vector<table_diff::entry_change> &changes)
{
    std::map<std::string_view, std::pair<const nlohmann::json *, const nlohmann::json *>> pairs;
    for (const auto &[name, fields] : before) {
        pairs[name].first = &fields;
    }
    for (const auto &[name, fields] : after) {
        pairs[name].second = &fields;
    }

    const nlohmann::json none;
    for (const auto &[name, pair] : pairs) {
        auto fields = compareFields(pair.first != nullptr ? *pair.first : none, pair.second != nullptr ? *pair.second : none);
        if (pair.first == nullptr) {
            changes.push_back({table_diff::change_kind::added, entry, std::string(name), std::move(fields)});
        } else if (pair.second == nullptr) {
            changes.push_back({table_diff::change_kind::removed, entry, std::string(name), std::move(fields)});
        } else if (!fields.empty()) {
            changes.push_back({table_diff::change_kind::changed, entry, std::string(name), std::move(fields)});
        }
    }
}

} // namespace

table_diff::table_diff(std::vector<entry_change> changes)
    : m_changes(std::move(changes))
{
}

const std::vector<table_diff::entry_change> &table_diff::changes() const
{
    return m_changes;
}

bool table_diff::isEmpty() const
{
    return m_changes.empty();
}

std::string table_diff::text() const
{
    if (isEmpty()) {
        return "no differences\n";
    }

    std::string result;
    for (const entry_change &each : m_changes) {
        result += std::string(name(each.kind)) + " " + each.entry + " " + each.name + "\n";
        for (const field_change &field : each.fields) {
            if (each.kind == change_kind::changed) {
                result += "    " + field.field + ": " + field.before.dump() + " -> " + field.after.dump() + "\n";
            }
        }
    }
    return result;
}

nlohmann::json table_diff::json() const
{
    nlohmann::json list = nlohmann::json::array();
    for (const entry_change &each : m_changes) {
        nlohmann::json fields = nlohmann::json::array();
        for (const field_change &field : each.fields) {
            fields.push_back({{"field", field.field}, {"before", field.before}, {"after", field.after}});
        }
        list.push_back({{"kind", name(each.kind)}, {"entry", each.entry}, {"name", each.name}, {"fields", std::move(fields)}});
    }
    return {{"changes", std::move(list)}};
}

std::string_view name(table_diff::change_kind kind)
{
    switch (kind) {
    case table_diff::change_kind::added:
        return "added";
    case table_diff::change_kind::removed:
        return "removed";
    case table_diff::change_kind::changed:
        return "changed";
    }
    assert(false);
    return "changed";
}

table_diff diffTables(const tables &before, const tables &after)
{
    std::vector<table_diff::entry_change> changes;
    compareEntries("route", routesByName(before), routesByName(after), changes);
    compareEntries("pool", poolsByName(before), poolsByName(after), changes);
    compareEntries("host", hostsByName(before), hostsByName(after), changes);
    return table_diff(std::move(changes));
}

} // namespace parsleyglade
