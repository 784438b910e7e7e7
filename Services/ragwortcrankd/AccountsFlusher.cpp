#include "AccountsFlusher.h"

#include "DaemonState.h"
#include "LibCore/Try.h"
#include "LibObservability/Log.h"
#include "LibTeams/Accounts.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace json = boost::json;
using Observability::log_level;

static constexpr std::chrono::seconds storeTimeout {2};
static constexpr std::chrono::seconds minimumReadInterval {5};
/// A row is written at least this often, even if unchanged, so that it is not taken for the row of a removed daemon.
static constexpr std::chrono::hours maximumWriteInterval {12};
static constexpr int maximumWriteAttempts = 5;

accounts_flusher::accounts_flusher(daemon_state &daemon)
    : m_daemon(daemon)
    , m_store(daemon.daemonSettings.storeUrl, storeTimeout)
    , m_thread([this] { run(); })
{
}

accounts_flusher::~accounts_flusher()
{
    stop();
}

void accounts_flusher::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_stopping = true;
        m_wake.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void accounts_flusher::run()
{
    // Spreads out the writes of daemons that start together.
    const auto offset =
        std::chrono::seconds(m_daemon.incarnation % std::chrono::seconds(Teams::accountFlushInterval).count());
    auto nextFlush = std::chrono::steady_clock::now() + offset;
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wake.wait_until(lock, nextFlush, [this] { return m_stopping || m_readWanted; });
        const bool read = std::exchange(m_readWanted, false);
        lock.unlock();
        if (std::chrono::steady_clock::now() >= nextFlush) {
            flush();
            nextFlush = std::chrono::steady_clock::now() + Teams::accountFlushInterval;
        }
        if (read) {
            readAll();
        }
        lock.lock();
    }
    lock.unlock();
    flush();
}

void accounts_flusher::flush()
{
    const auto own = m_daemon.admission.accounts();
    const auto now = std::chrono::steady_clock::now();
    if (own == m_written && now - m_writtenAt < maximumWriteInterval) {
        return;
    }
    const Core::result<void> written = writePage(own);
    if (!written) {
        Observability::logEvent(log_level::Warning, "accounts_not_written", {{"message", written.error().message}});
        return;
    }
    m_written = own;
    m_writtenAt = now;
}

Core::result<void> accounts_flusher::writePage(const std::map<std::string, Teams::team_account> &own)
{
    const std::string key = Teams::accountPageKey(m_daemon.incarnation);
    const auto now = std::chrono::time_point_cast<std::chrono::seconds>(std::chrono::system_clock::now());
    for (int attempt = 0; attempt < maximumWriteAttempts; ++attempt) {
        Core::result<Platform::stored_object> stored = m_store.read(key);
        if (!stored && stored.error().code != Core::error_code::NotFound) {
            return stored.error();
        }
        const Platform::stored_object object = stored ? stored.value() : Platform::stored_object();
        Teams::account_page page = TRY(Teams::decodePage(object.body));
        if (!m_written.empty() && !page.rows.contains(m_daemon.incarnation)) {
            // This daemon was taken for removed, and its row was added to the past totals of the page.
            m_folded = m_written;
        }
        Teams::mergeRow(page, m_daemon.incarnation, {Teams::accountsSince(own, m_folded), now});
        Teams::archiveExpiredRows(page, now);
        const Core::result<std::string> written = m_store.write(key, Teams::encodePage(page), object.tag);
        if (written) {
            return Core::success();
        }
        if (written.error().code != Core::error_code::Conflict) {
            return written.error();
        }
    }
    return Core::error {Core::error_code::Conflict,
                        "accounts page \"" + key + "\" was changed by another daemon during every attempt to write it"};
}

void accounts_flusher::readAll()
{
    std::map<std::string, Teams::team_account> totals;
    for (const std::string &key : Teams::accountPageKeys()) {
        const Core::result<Platform::stored_object> stored = m_store.read(key);
        if (!stored && stored.error().code != Core::error_code::NotFound) {
            return;
        }
        const auto page = Teams::decodePage(stored ? stored.value().body : std::string());
        if (!page) {
            Observability::logEvent(log_level::Error, "accounts_malformed", {{"key", key}});
            return;
        }
        for (const auto &[team, account] : Teams::pageTotals(page.value())) {
            Teams::addAccount(totals[team], account);
        }
    }
    const std::scoped_lock lock(m_mutex);
    m_totals = std::move(totals);
    m_readAt =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string accounts_flusher::text()
{
    const json::value own = json::parse(Teams::encodeTotals(m_daemon.admission.accounts()));
    const std::scoped_lock lock(m_mutex);
    const auto now =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    if (now - std::chrono::seconds(m_readAt) >= minimumReadInterval) {
        m_readWanted = true;
        m_wake.notify_one();
    }
    json::object report = json::parse(Teams::encodeTotals(m_totals)).as_object();
    report["read_at"] = m_readAt;
    report["this_daemon"] = own.at("teams");
    return json::serialize(report);
}
