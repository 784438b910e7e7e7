#include "Policy/RolloutFleet.h"

#include "LibRollout/ChooseVersion.h"
#include "LibRollout/EvaluateEvidence.h"
#include "LibRollout/Evidence.h"
#include "LibRollout/RolloutShare.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Bench
{
using Rollout::version_side;

static constexpr std::size_t dataCentreCount = 3;
static constexpr std::uint64_t faultsThatShow = 20;
static constexpr std::chrono::seconds boundAfterShown {3};

rollout_fleet::rollout_fleet(const rollout_case &settings)
    : m_case(settings)
    , m_random(settings.seed)
    , m_daemons(settings.daemonCount)
    , m_now(std::chrono::seconds(1'700'000'000 + settings.seed * 977))
{
    const auto length = std::chrono::duration_cast<Core::wall_time::duration>(settings.length);
    m_service.version = "v1";
    m_service.rollout = {settings.seed, "v1", "v2", m_now, m_now + length, false};
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        m_daemons[index].own.counts.dataCentre = static_cast<std::uint32_t>(index % dataCentreCount);
    }
    m_slowDown = drawPeriod();
    m_badDataCentre = drawPeriod();
}

double rollout_fleet::draw()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

rollout_fleet::period rollout_fleet::drawPeriod()
{
    const double length = Core::toSeconds(m_case.length);
    const auto offset = [&](double seconds) {
        return m_now + std::chrono::duration_cast<Core::wall_time::duration>(Core::fromSeconds(seconds));
    };
    const double start = draw() * length;
    return m_case.troubles ? period {offset(start), offset(start + length / 4.0)} : period {m_now, m_now};
}

double rollout_fleet::rate() const
{
    const Configuration::rollout_settings &rollout = *m_service.rollout;
    const double progress = Core::toSeconds(m_now - rollout.start) / Core::toSeconds(rollout.deadline - rollout.start);
    const bool doubled = m_case.when == fault_time::UnderLoad && progress >= 0.4 && progress < 0.8;
    return m_case.queriesPerSecond * (doubled ? 2.0 : 1.0);
}

bool rollout_fleet::faultIsActive(const std::string &route) const
{
    switch (m_case.when) {
    case fault_time::AtOnce:
        return true;
    case fault_time::Late:
        return (m_now - m_service.rollout->start) * 10 >= (m_service.rollout->deadline - m_service.rollout->start) * 6;
    case fault_time::UnderLoad:
        return rate() > m_case.queriesPerSecond;
    case fault_time::OneRoute:
        return route == "book";
    }
    return false;
}

Core::duration rollout_fleet::drawLatency(std::size_t dataCentre)
{
    double seconds = 0.01 * std::exp(0.4 * std::normal_distribution<double>(0.0, 1.0)(m_random));
    seconds *= draw() < 0.01 ? 20.0 : 1.0;
    seconds *= m_slowDown.contains(m_now) ? 5.0 : 1.0;
    seconds *= dataCentre == 0 && m_badDataCentre.contains(m_now) ? 3.0 : 1.0;
    return Core::fromSeconds(seconds);
}

void rollout_fleet::countFault()
{
    if (++m_faulty == faultsThatShow) {
        m_record.shown = true;
        m_shownAt = m_now;
    }
}

void rollout_fleet::serveQuery()
{
    const std::size_t index = m_random() % m_daemons.size();
    daemon &at = m_daemons[index];
    const std::string version = Rollout::chooseVersion(m_service, at.share, std::to_string(m_nextQuery++));
    const bool isNew = version == m_service.rollout->toVersion;
    const bool badDataCentre = index % dataCentreCount == 0 && m_badDataCentre.contains(m_now);
    Rollout::observation seen;
    seen.side = isNew ? version_side::New : version_side::Old;
    seen.newShare = at.share;
    seen.route = draw() < 0.2 ? "book" : "lookup";
    seen.failed = draw() < (badDataCentre ? 0.3 : 0.002);
    seen.latency = drawLatency(index % dataCentreCount);
    if (!m_record.shown) {
        ++m_record.queriesUntilShown;
        m_record.newUntilShown += isNew ? 1 : 0;
    }
    m_record.newAfterBound += isNew && m_record.shown && m_now > m_shownAt + boundAfterShown ? 1 : 0;
    if (isNew && m_case.fault != version_fault::None && faultIsActive(seen.route)) {
        const bool slow = m_case.fault == version_fault::Slow;
        seen.latency *= slow ? 3 : 1;
        const bool fails = !slow && draw() < 0.3;
        seen.failed = seen.failed || fails;
        if (slow || fails) {
            countFault();
        }
    }
    Rollout::recordAnswer(at.own, seen, m_now);
}

void rollout_fleet::exchange()
{
    for (std::size_t index = 0; index < m_daemons.size(); ++index) {
        daemon &own = m_daemons[index];
        Rollout::mergeDaemon(own.held, index + 1, own.own.counts);
    }
    for (daemon &own : m_daemons) {
        daemon &peer = m_daemons[m_random() % m_daemons.size()];
        Rollout::mergeEvidence(peer.held, own.held);
        Rollout::mergeEvidence(own.held, peer.held);
    }
}

void rollout_fleet::updateShares()
{
    for (daemon &own : m_daemons) {
        const bool bad = m_case.judges && Rollout::evaluateEvidence(own.held, m_now) == Rollout::verdict::Bad;
        own.held.bad = own.held.bad || bad;
        m_record.takenBack = m_record.takenBack || bad;
        // Without evidence the share grows with time alone, once the wait for answers is over.
        const Rollout::rollout_evidence &evidence = m_case.judges ? own.held : Rollout::rollout_evidence();
        own.share = Rollout::shareOfNewVersion(*m_service.rollout, evidence, m_now);
    }
}

bool rollout_fleet::allKnowBad() const
{
    return std::all_of(m_daemons.begin(), m_daemons.end(), [](const daemon &own) { return own.held.bad; });
}

rollout_record rollout_fleet::run()
{
    const auto tick = std::chrono::duration_cast<Core::wall_time::duration>(m_case.exchangeInterval);
    // Once all daemons know that the version is bad its share stays 0.
    while (m_now < m_service.rollout->deadline && !allKnowBad()) {
        exchange();
        updateShares();
        const int queries = std::poisson_distribution<int>(rate() * Core::toSeconds(tick))(m_random);
        const Core::wall_time tickStart = m_now;
        for (int query = 0; query < queries; ++query) {
            m_now = tickStart + tick * query / queries;
            serveQuery();
        }
        m_now = tickStart + tick;
    }
    m_record.moved =
        std::all_of(m_daemons.begin(), m_daemons.end(), [](const daemon &own) { return own.share == 1.0; });
    return m_record;
}
} // namespace Bench
