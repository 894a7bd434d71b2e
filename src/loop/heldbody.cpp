#include <ragwortrelay/loop/heldbody.h>

#include <utility>

namespace RagwortRelay::Loop {

HeldBody::HeldBody(std::string bytes, std::shared_ptr<CallerBudget> budget, std::string address, TimePoint arrivedAt)
    : m_bytes(std::move(bytes)), m_budget(std::move(budget)), m_address(std::move(address)), m_arrivedAt(arrivedAt)
{
}

HeldBody::~HeldBody()
{
    m_budget->remove(m_id);
}

std::shared_ptr<const std::string> HeldBody::bytesOf(const std::shared_ptr<HeldBody> &body)
{
    return {body, &body->m_bytes};
}

void HeldBody::addRelease(std::function<void()> release)
{
    m_releases.push_back(std::move(release));
}

void HeldBody::letGo(std::shared_ptr<HeldBody> body)
{
    if (!body || body.use_count() == 1 || body->m_id != 0) {
        return;
    }
    // The body removes itself from the budget before it is destroyed.
    body->m_id = body->m_budget->add(nullptr, body->m_address, body->m_arrivedAt, [held = body.get()](ReleaseReason /*reason*/) { held->release(); });
    body->m_budget->setHeld(body->m_id, body->m_bytes.capacity());
}

void HeldBody::release()
{
    const auto releases = std::exchange(m_releases, {}); // The last one may destroy this body.
    if (releases.empty()) {
        return;
    }
    m_budget->remove(m_id); // The memory is freed as soon as the writes that were in progress have ended.
    for (const auto &release : releases) {
        release();
    }
}

}
