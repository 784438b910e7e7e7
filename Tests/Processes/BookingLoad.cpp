#include "Processes/BookingLoad.h"

#include "LibPlatform/BlockingHttpClient.h"
#include "Processes/BookingCalls.h"

#include <algorithm>
#include <utility>

namespace Processes
{

booking_load::booking_load(std::vector<std::string> daemons, std::string teamKey, int callers)
    : m_daemons(std::move(daemons))
    , m_teamKey(std::move(teamKey))
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, caller] { run(caller); });
    }
}

booking_load::~booking_load()
{
    stop();
}

std::vector<booking_record> booking_load::stop()
{
    m_stopping = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    const std::scoped_lock lock(m_mutex);
    return m_records;
}

void booking_load::run(int caller)
{
    Platform::blocking_http_client client;
    for (int number = 0; !m_stopping; ++number) {
        const std::string &daemon = m_daemons[static_cast<std::size_t>(caller + number) % m_daemons.size()];
        const std::string incarnation = incarnationOf(client, daemon);
        if (incarnation.empty()) {
            continue;
        }
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        booking_record record;
        record.requestId = incarnation + "."
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now).count()) + "."
            + std::to_string(caller) + "-" + std::to_string(number);
        // Every fifth booking is asked for elsewhere first, so that its own daemon hears of it late.
        if (number % 5 == 4) {
            sendBooking(client, m_daemons[static_cast<std::size_t>(caller + number + 1) % m_daemons.size()], m_teamKey,
                        record);
        }
        sendBooking(client, daemon, m_teamKey, record);
        if (!record.answered) {
            for (const std::string &other : m_daemons) {
                sendBooking(client, other, m_teamKey, record);
            }
        }
        const std::scoped_lock lock(m_mutex);
        m_records.push_back(std::move(record));
    }
}
} // namespace Processes
