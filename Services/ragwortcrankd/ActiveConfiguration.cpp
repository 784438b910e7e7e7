#include "ActiveConfiguration.h"

#include "LibConfiguration/Adoption.h"
#include "LibConfiguration/ConfigurationDocument.h"

#include <utility>

active_configuration::active_configuration()
    : m_document(std::make_shared<Configuration::configuration_document>())
{
}

active_configuration::~active_configuration() = default;

std::shared_ptr<const Configuration::configuration_document> active_configuration::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_document;
}

std::string active_configuration::text() const
{
    const std::scoped_lock lock(m_mutex);
    return m_text;
}

bool active_configuration::adopt(std::shared_ptr<const Configuration::configuration_document> document,
                                 std::string text)
{
    const std::scoped_lock lock(m_mutex);
    if (!Configuration::shouldAdopt(m_document->number, document->number)) {
        return false;
    }
    m_document = std::move(document);
    m_text = std::move(text);
    return true;
}
