#include "VmListReader.h"

#include <utility>

static constexpr std::chrono::seconds storeTimeout {2};

vm_list_reader::vm_list_reader(const std::string &storeUrl, std::function<void(const std::string &)> onList,
                               std::function<Core::duration()> interval)
    : m_store(storeUrl, storeTimeout)
    , m_onList(std::move(onList))
    , m_interval(std::move(interval))
    , m_thread([this] { run(); })
{
}

vm_list_reader::~vm_list_reader()
{
    stop();
}

void vm_list_reader::stop()
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

void vm_list_reader::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        const auto list = m_store.read("vms");
        if (list) {
            m_onList(list.value().body);
        } else if (list.error().code == Core::error_code::NotFound) {
            m_onList("[]"); // The store responded but has no list yet.
        }
        const Core::duration wait = m_interval();
        lock.lock();
        m_wake.wait_for(lock, wait, [this] { return m_stopping; });
    }
}
