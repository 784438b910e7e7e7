#include "InputText.h"
#include "LibConfiguration/PatchId.h"
#include "LibCore/Verify.h"

#include <string>

/// A patch id from an operator's parameter names a number only if it begins with that number's digits.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::string text(inputText(data, size));
    const auto number = Configuration::originalBaseNumber(text);
    if (number) {
        const std::string digits = text.substr(0, text.find_first_not_of("0123456789"));
        VERIFY(!digits.empty());
        VERIFY(std::stoull(digits) == *number);
    }
    return 0;
}
