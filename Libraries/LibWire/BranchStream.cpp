#include "LibWire/BranchStream.h"

#include "LibWire/BranchAnswers.h"
#include "LibWire/BranchSummary.h"

#include <utility>

namespace Wire
{
branch_stream::branch_stream(std::unique_ptr<target> destination)
    : m_target(std::move(destination))
{
}

branch_stream::branch_stream(branch_stream &&) noexcept = default;
branch_stream &branch_stream::operator=(branch_stream &&) noexcept = default;
branch_stream::~branch_stream() = default;

void branch_stream::send(branch_answers answers)
{
    m_target->send(std::move(answers));
}

void branch_stream::end(const branch_summary &summary)
{
    m_target->end(summary);
}

bool branch_stream::isCancelled() const
{
    return m_target->isCancelled();
}

void branch_stream::onCancel(std::function<void()> handler)
{
    m_target->onCancel(std::move(handler));
}
} // namespace Wire
