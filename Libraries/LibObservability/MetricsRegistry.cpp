#include "LibObservability/MetricsRegistry.h"

#include <sstream>
#include <utility>

namespace Observability
{
static std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (const char character : value) {
        if (character == '\\' || character == '"') {
            escaped += '\\';
        }
        escaped += character == '\n' ? ' ' : character;
    }
    return escaped;
}

static std::string formatLabels(const metrics_registry::labels &labelSet)
{
    if (labelSet.empty()) {
        return {};
    }
    std::string text = "{";
    for (const metric_label &label : labelSet) {
        text += (text.size() > 1 ? "," : "") + label.name + "=\"" + escapeLabel(label.value) + "\"";
    }
    return text + "}";
}

static void writeHeader(std::ostream &stream, const std::string &name, const std::string &help, const char *type)
{
    stream << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type << '\n';
}

metric_counter &metrics_registry::counter(const std::string &name, const std::string &help, const labels &labelSet)
{
    const std::scoped_lock lock(m_mutex);
    family<metric_counter> &group = m_counters[name];
    group.help = help;
    std::unique_ptr<metric_counter> &member = group.members[labelSet];
    if (member == nullptr) {
        member = std::make_unique<metric_counter>();
    }
    return *member;
}

metric_summary &metrics_registry::summary(const std::string &name, const std::string &help, const labels &labelSet)
{
    const std::scoped_lock lock(m_mutex);
    family<metric_summary> &group = m_summaries[name];
    group.help = help;
    std::unique_ptr<metric_summary> &member = group.members[labelSet];
    if (member == nullptr) {
        member = std::make_unique<metric_summary>();
    }
    return *member;
}

void metrics_registry::gauge(const std::string &name, const std::string &help, std::function<double()> read)
{
    const std::scoped_lock lock(m_mutex);
    m_gauges[name] = {help, std::move(read)};
}

static void writeSummary(std::ostream &stream, const std::string &name, metrics_registry::labels labelSet,
                         const summary_values &values)
{
    const std::string plain = formatLabels(labelSet);
    stream << name << "_count" << plain << ' ' << values.count << '\n';
    stream << name << "_sum" << plain << ' ' << Core::toSeconds(values.sum) << '\n';
    labelSet.push_back({"quantile", "0.5"});
    stream << name << formatLabels(labelSet) << ' ' << Core::toSeconds(values.median) << '\n';
    labelSet.back().value = "0.99";
    stream << name << formatLabels(labelSet) << ' ' << Core::toSeconds(values.quantile99) << '\n';
}

std::string metrics_registry::toText(Core::time_point now)
{
    std::ostringstream stream;
    const std::scoped_lock lock(m_mutex);
    for (const auto &[name, group] : m_counters) {
        writeHeader(stream, name, group.help, "counter");
        for (const auto &[labelSet, member] : group.members) {
            stream << name << formatLabels(labelSet) << ' ' << member->value() << '\n';
        }
    }
    for (const auto &[name, entry] : m_gauges) {
        writeHeader(stream, name, entry.help, "gauge");
        stream << name << ' ' << entry.read() << '\n';
    }
    for (const auto &[name, group] : m_summaries) {
        writeHeader(stream, name, group.help, "summary");
        for (const auto &[labelSet, member] : group.members) {
            writeSummary(stream, name, labelSet, member->values(now));
        }
    }
    return stream.str();
}
} // namespace Observability
