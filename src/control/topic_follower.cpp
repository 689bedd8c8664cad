#include "control/topic_follower.h"

namespace parsleyglade {

namespace {

// Reads of at least this size take noticeable time on the slowest links, so each of them is logged.
constexpr std::size_t largeReadBytes = std::size_t{64} * 1024;

std::int64_t toMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

topic_follower::topic_follower(timer_service &timers, keyed_store &store, store_topic topic, settings followerSettings,
                               std::function<void(const store_record &)> recordChanged, std::function<void()> caughtUp)
    : m_timers(timers)
    , m_store(store)
    , m_topic(topic)
    , m_settings(followerSettings)
    , m_recordChanged(std::move(recordChanged))
    , m_caughtUp(std::move(caughtUp))
{
}

void topic_follower::start()
{
    load();
}

bool topic_follower::isLoaded() const
{
    return m_isLoaded;
}

bool topic_follower::isUnavailable() const
{
    return m_isUnavailable;
}

time_point topic_follower::lastContact() const
{
    return m_lastContact;
}

time_point topic_follower::currentAsOf() const
{
    return m_currentAsOf;
}

void topic_follower::load()
{
    m_loadStartedAt = m_timers.now();
    m_isFirstPage = true;
    m_afterKey.clear();
    m_loadedKeys.clear();
    m_requestedAt = m_timers.now();
    m_store.readNewest(m_topic, m_afterKey, [this, alive = std::weak_ptr<bool>(m_alive)](const store_page &page) {
        if (alive.lock()) {
            handlePage(page);
        }
    });
}

void topic_follower::handlePage(const store_page &page)
{
    if (!page.isAvailable) {
        handleFailure(page.reason);
        schedule(m_settings.retryDelay, &topic_follower::load);
        return;
    }

    handleSuccess();
    logLargeRead(page.records);
    // Later pages may hold records newer than the first page. Reading on from the end as of the first page repeats them, which is harmless.
    if (m_isFirstPage) {
        m_next = page.end;
        m_isFirstPage = false;
    }
    for (const store_record &record : page.records) {
        m_loadedKeys.insert(record.key);
        m_afterKey = record.key;
        report(record);
    }
    if (page.hasMore && !page.records.empty()) {
        m_requestedAt = m_timers.now();
        m_store.readNewest(m_topic, m_afterKey, [this, alive = std::weak_ptr<bool>(m_alive)](const store_page &next) {
            if (alive.lock()) {
                handlePage(next);
            }
        });
        return;
    }

    const std::set<std::string> known = m_keys;
    for (const std::string &key : known) {
        if (!m_loadedKeys.contains(key)) {
            report({m_next, key, {}});
        }
    }
    m_isLoaded = true;
    m_currentAsOf = std::max(m_currentAsOf, m_loadStartedAt);
    m_caughtUp();
    schedule(m_settings.readInterval, &topic_follower::readNext);
}

void topic_follower::readNext()
{
    m_requestedAt = m_timers.now();
    m_store.read(m_topic, m_next, {m_settings.wait, m_settings.maximumReadBytes},
                 [this, alive = std::weak_ptr<bool>(m_alive)](const store_read_result &result) {
                     if (alive.lock()) {
                         handleReadResult(result);
                     }
                 });
}

void topic_follower::handleReadResult(const store_read_result &result)
{
    switch (result.status) {
    case store_read_status::unavailable:
        handleFailure(result.reason);
        schedule(m_settings.retryDelay, &topic_follower::readNext);
        return;
    case store_read_status::trimmed:
        m_log.info("records were trimmed before they were read; reloading the newest records", {{"topic", name(m_topic)}, {"next", m_next}});
        load();
        return;
    case store_read_status::ok:
        break;
    }

    handleSuccess();
    logLargeRead(result.records);
    m_next = result.next;
    for (const store_record &record : result.records) {
        report(record);
    }
    if (result.next < result.end) {
        load();
        return;
    }
    // An empty response was sent when its wait ended, so it is current as of its arrival. One with records may have been sent right after the request.
    m_currentAsOf = std::max(m_currentAsOf, result.records.empty() ? m_lastContact : m_requestedAt);
    m_caughtUp();
    schedule(m_settings.readInterval, &topic_follower::readNext);
}

void topic_follower::report(const store_record &record)
{
    if (record.value.empty()) {
        m_keys.erase(record.key);
    } else {
        m_keys.insert(record.key);
    }
    m_recordChanged(record);
}

void topic_follower::schedule(duration delay, void (topic_follower::*nextStep)())
{
    m_timer = m_timers.after(delay, [this, nextStep] { (this->*nextStep)(); });
}

void topic_follower::logLargeRead(const std::vector<store_record> &records) const
{
    std::size_t bytes = 0;
    for (const store_record &record : records) {
        bytes += record.value.size();
    }
    if (bytes >= largeReadBytes) {
        m_log.info("received a large response",
                   {{"topic", name(m_topic)}, {"records", records.size()}, {"bytes", bytes}, {"elapsedMs", toMilliseconds(m_timers.now() - m_requestedAt)}});
    }
}

void topic_follower::handleFailure(const std::string &reason)
{
    ++m_failures;
    if (!m_isUnavailable) {
        m_isUnavailable = true;
        m_unavailableSince = m_timers.now();
        m_log.warning("failed to read a topic; retrying", {{"topic", name(m_topic)}, {"reason", reason}});
    }
}

void topic_follower::handleSuccess()
{
    m_lastContact = m_timers.now();
    if (m_isUnavailable) {
        m_isUnavailable = false;
        m_log.info("reading the topic succeeds again",
                   {{"topic", name(m_topic)}, {"failures", m_failures}, {"lostMs", toMilliseconds(m_timers.now() - m_unavailableSince)}});
    }
    m_failures = 0;
}

} // namespace parsleyglade
