#include "PatchWriter.h"

#include "AdoptConfiguration.h"
#include "DaemonState.h"
#include "LibConfiguration/Adoption.h"
#include "LibConfiguration/ConfigurationDocument.h"
#include "LibConfiguration/PatchEvents.h"
#include "LibConfiguration/PatchId.h"
#include "LibConfiguration/PatchTransaction.h"
#include "LibObservability/Log.h"

static constexpr std::chrono::seconds storeTimeout {2};

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
    if (!Configuration::originalBaseNumber(request.patchId)) {
        request.patchId = Configuration::makePatchId(request.baseNumber, request.patchId);
    }
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

static Configuration::write_outcome toWriteOutcome(const Core::result<std::string> &written)
{
    using Configuration::write_outcome;
    if (written) {
        return write_outcome::Written;
    }
    switch (written.error().code) {
    case Core::error_code::Conflict:
        return write_outcome::Conflict;
    case Core::error_code::Unavailable:
        return write_outcome::NotSent;
    default:
        return write_outcome::NoReply;
    }
}

/// Returns whether the stored document is older than the one in force, which means that the store lost a write that it
/// had accepted. A patch applied to the older document would get a number that no VM adopts, or that other VMs already
/// have with a different content.
static bool hasLostConfiguration(const Core::result<Platform::stored_object> &object, std::uint64_t numberInForce)
{
    if (!object && object.error().code != Core::error_code::NotFound) {
        return false;
    }
    const std::uint64_t stored = object ? Configuration::parseOfferedDocument(object.value().body).document.number : 0;
    if (stored >= numberInForce) {
        return false;
    }
    Observability::logEvent(Observability::log_level::Error, "store_lost_configuration",
                            {{"number", stored}, {"number_in_force", numberInForce}});
    return true;
}

static Configuration::patch_step
readDocument(Platform::store_client &store, Configuration::patch_transaction &transaction, std::uint64_t numberInForce)
{
    const Core::result<Platform::stored_object> object = store.read("configuration");
    if (hasLostConfiguration(object, numberInForce)) {
        return Configuration::onReadFailed(transaction);
    }
    if (object) {
        return Configuration::onRead(transaction, object.value().body, object.value().tag);
    }
    if (object.error().code == Core::error_code::NotFound) {
        return Configuration::onRead(transaction, "", "");
    }
    return Configuration::onReadFailed(transaction);
}

Configuration::patch_answer patch_writer::write(const Configuration::patch_request &request)
{
    Configuration::patch_transaction transaction;
    Configuration::patch_step step = Configuration::startTransaction(transaction, request);
    while (!step.answer) {
        if (step.text) {
            const Core::result<std::string> written = m_store.write("configuration", *step.text, step.expectedTag);
            step = Configuration::onWritten(transaction, toWriteOutcome(written));
        } else {
            step = readDocument(m_store, transaction, m_daemon.configuration.current()->number);
        }
    }
    if (!step.answer->text.empty()) {
        adoptConfiguration(m_daemon, step.answer->text);
    }
    return std::move(*step.answer);
}
