#include "PatchWriter.h"

#include "AdoptConfiguration.h"
#include "DaemonState.h"
#include "LibConfiguration/ApplyPatch.h"
#include "LibCore/Try.h"

static constexpr std::chrono::seconds storeTimeout {2};
static constexpr int mostReadBacks = 3;

patch_writer::patch_writer(daemon_state &daemon)
    : m_daemon(daemon)
    , m_store(daemon.daemonSettings.storeUrl, storeTimeout)
    , m_thread([this] { run(); })
{
}

patch_writer::~patch_writer()
{
    stop();
}

void patch_writer::submit(Configuration::patch_request request, completion done)
{
    const std::scoped_lock lock(m_mutex);
    m_inbox.emplace_back(std::move(request), std::move(done));
    m_wake.notify_one();
}

void patch_writer::stop()
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

void patch_writer::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wake.wait(lock, [this] { return m_stopping || !m_inbox.empty(); });
        if (m_inbox.empty()) {
            return;
        }
        const auto [request, done] = std::move(m_inbox.front());
        m_inbox.erase(m_inbox.begin());
        lock.unlock();
        done(write(request));
        lock.lock();
    }
}

Core::result<Configuration::patch_outcome> patch_writer::write(const Configuration::patch_request &request)
{
    Core::result<Platform::stored_object> current = m_store.read("configuration");
    if (!current && current.error().code != Core::error_code::NotFound) {
        return Core::error {Core::error_code::Unavailable, current.error().message};
    }
    for (int readBack = 0; readBack < mostReadBacks; ++readBack) {
        const Platform::stored_object object = current ? current.value() : Platform::stored_object();
        Configuration::patch_outcome outcome = Configuration::applyPatch(object.body, request);
        if (outcome.verdict != Configuration::patch_verdict::Applied) {
            return outcome;
        }
        const Core::result<std::string> written = m_store.write("configuration", outcome.text, object.tag);
        if (written) {
            adoptConfiguration(m_daemon, outcome.text);
            return outcome;
        }
        if (written.error().code == Core::error_code::Unavailable) {
            return written.error();
        }
        // Another writer was faster, or the reply was lost: the stored document tells by its patch ids.
        current = m_store.read("configuration");
        if (!current) {
            return Core::error {Core::error_code::TimedOut,
                                "the patch may have been accepted; ask again with the same patch id"};
        }
    }
    return Core::error {Core::error_code::Unavailable, "the stored document keeps changing; try again"};
}
