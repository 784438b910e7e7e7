#include "LibWire/LoopInbox.h"

#include "LibCore/Verify.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>

namespace Wire
{
loop_inbox::loop_inbox()
    : m_descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    VERIFY(m_descriptor >= 0);
}

loop_inbox::~loop_inbox()
{
    ::close(m_descriptor);
}

bool loop_inbox::post(work item)
{
    const std::scoped_lock lock(m_mutex);
    if (m_closed) {
        return false;
    }
    m_work.push_back(std::move(item));
    if (m_work.size() == 1) {
        eventfd_write(m_descriptor, 1);
    }
    return true;
}

std::vector<loop_inbox::work> loop_inbox::take()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_work, {});
}

void loop_inbox::close()
{
    const std::scoped_lock lock(m_mutex);
    m_closed = true;
}
} // namespace Wire
