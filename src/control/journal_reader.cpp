#include "control/journal_reader.h"

#include "control/journal_writer.h"

#include <cassert>
#include <string_view>
#include <unordered_set>

namespace parsleyglade {

journal_reader::journal_reader(const timer_service &timers, keyed_store &store, const scheduler_settings &settings)
    : m_timers(timers)
    , m_store(store)
    , m_settings(settings)
{
}

bool journal_reader::isLoaded() const
{
    return m_isLoaded;
}

void journal_reader::load(append_policy policy, load_callback done)
{
    m_policy = policy;
    m_done = std::move(done);
    m_copy = {};
    m_copy.state = std::make_unique<scheduler>(m_settings);
    m_afterKey.clear();
    m_isFirstPage = true;
    m_isLoaded = false;
    loadPage();
}

void journal_reader::loadPage()
{
    m_requestedAt = m_timers.now();
    m_store.readNewest(store_topic::journal, m_afterKey, [this, alive = std::weak_ptr<bool>(m_alive)](const store_page &page) {
        if (alive.lock()) {
            handlePage(page);
        }
    });
}

void journal_reader::handlePage(const store_page &page)
{
    if (!page.isAvailable) {
        std::exchange(m_done, nullptr)(load_state::unavailable, page.reason);
        return;
    }
    // Later pages may hold newer records than the first one. Reading on from the end as of the first page repeats them, which is harmless.
    if (m_isFirstPage) {
        m_copy.end = page.end;
        m_isFirstPage = false;
    }
    if (m_policy == append_policy::give_up && page.end != m_copy.end) {
        std::exchange(m_done, nullptr)(load_state::appended_to, {});
        return;
    }
    ++m_load.pages;
    restore(page.records);
    m_load.elapsed += m_timers.now() - m_requestedAt;
    if (page.hasMore && !page.records.empty()) {
        m_afterKey = page.records.back().key;
        loadPage();
        return;
    }
    m_isLoaded = true;
    std::exchange(m_done, nullptr)(load_state::loaded, {});
}

void journal_reader::readOn(duration wait, std::function<void(const store_read_result &)> done)
{
    assert(m_isLoaded);
    m_requestedAt = m_timers.now();
    m_store.read(store_topic::journal, m_copy.end, {wait},
                 [this, wait, done = std::move(done), alive = std::weak_ptr<bool>(m_alive)](const store_read_result &read) {
                     if (!alive.lock() || !m_isLoaded) {
                         return;
                     }
                     if (read.status == store_read_status::ok) {
                         m_copy.end = read.next;
                         restore(read.records);
                     }
                     if (wait == duration::zero()) {
                         m_load.elapsed += m_timers.now() - m_requestedAt;
                     }
                     done(read);
                 });
}

const journal_copy &journal_reader::copy() const
{
    return m_copy;
}

journal_copy journal_reader::takeCopy()
{
    assert(m_isLoaded);
    m_isLoaded = false;
    return std::exchange(m_copy, {});
}

void journal_reader::resume(journal_copy copy)
{
    m_copy = std::move(copy);
    m_isLoaded = true;
}

const journal_load &journal_reader::loaded() const
{
    return m_load;
}

bool journal_reader::hasResigned(const store_record &record)
{
    if (record.key != journal_writer::batchKey) {
        return false;
    }
    const auto header = decode<wire::batch_record>(record.value);
    return header && header->resigned;
}

/** Restores the newest record of each key, in the order of the journal. Each record holds the whole state of its key, and a busy leader writes that of the same
    job many times. */
void journal_reader::restore(const std::vector<store_record> &records)
{
    std::unordered_set<std::string_view> keys;
    std::vector<const store_record *> newest;
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        ++m_load.records;
        m_load.bytes += record->value.size();
        if (keys.insert(record->key).second) {
            newest.push_back(&*record);
        }
    }
    for (auto record = newest.rbegin(); record != newest.rend(); ++record) {
        restoreRecord(**record);
    }
}

void journal_reader::restoreRecord(const store_record &record)
{
    if (record.key == journal_writer::batchKey) {
        m_copy.hasNoWriter = hasResigned(record);
        return;
    }
    if (!m_copy.state->restore(record.key, record.value)) {
        m_log.error("failed to decode a journal record; skipping it", {{"key", record.key}, {"offset", record.offset}});
    }
}

} // namespace parsleyglade
