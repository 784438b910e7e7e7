#pragma once

#include "Processes/BookingRecord.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Processes
{
/// Callers that send bookings under ids that name a daemon. When a booking's fate is unknown they ask again with the
/// same id, through the same daemon and through all others.
class booking_load
{
public:
    booking_load(std::vector<std::string> daemons, std::string teamKey, int callers);
    ~booking_load();
    booking_load(const booking_load &) = delete;
    booking_load &operator=(const booking_load &) = delete;

    /// Ends the load and returns what the callers were told about each booking.
    std::vector<booking_record> stop();

private:
    void run(int caller);

    const std::vector<std::string> m_daemons;
    const std::string m_teamKey;
    std::atomic<bool> m_stopping {false};
    std::mutex m_mutex;
    std::vector<booking_record> m_records; ///< Guarded by m_mutex.
    std::vector<std::thread> m_threads;
};
} // namespace Processes
