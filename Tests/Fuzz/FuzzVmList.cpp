#include "InputText.h"
#include "LibCore/Verify.h"
#include "LibMembership/ParseVmList.h"

/// Every VM that is taken from a list has a name and a peer address, and takes no more bytes than the list.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto vms = Membership::parseVmList(inputText(data, size));
    if (!vms) {
        return 0;
    }
    std::size_t bytes = 0;
    for (const Membership::listed_vm &vm : vms.value()) {
        VERIFY(!vm.name.empty() && !vm.peerAddress.empty());
        bytes += vm.name.size() + vm.callerAddress.size() + vm.peerAddress.size() + vm.dataCentre.size();
    }
    VERIFY(bytes <= size);
    return 0;
}
