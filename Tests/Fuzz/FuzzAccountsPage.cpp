#include "InputText.h"
#include "LibCore/Verify.h"
#include "LibTeams/Accounts.h"

/// A page that decodes reads back the same after it was written, and folding its rows keeps every total.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    auto page = Teams::decodePage(inputText(data, size));
    if (!page) {
        return 0;
    }
    const auto again = Teams::decodePage(Teams::encodePage(page.value()));
    VERIFY(again && again.value() == page.value());
    const auto totals = Teams::pageTotals(page.value());
    Teams::archiveExpiredRows(page.value(), Core::wall_time(std::chrono::seconds(9'000'000'000)));
    VERIFY(Teams::pageTotals(page.value()) == totals);
    return 0;
}
