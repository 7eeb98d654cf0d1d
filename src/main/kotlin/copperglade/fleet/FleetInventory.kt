package copperglade.fleet

/** The number and the CPUs of the machines that are expected to run tasks, whether listed, rented or requested. */
internal class FleetInventory(private val types: MachineTypeCatalog) {
    private val countByKind = HashMap<MachineKind, Int>()
    var onDemandCpus = 0.0
        private set
    var spotCpus = 0.0
        private set

    fun add(kind: MachineKind, count: Int) {
        countByKind.merge(kind, count, Int::plus)
        val cpus = (types[kind.type]?.capacity?.cpus ?: 0.0) * count
        if (kind.spot) spotCpus += cpus else onDemandCpus += cpus
    }

    fun countOf(kind: MachineKind): Int = countByKind[kind] ?: 0
}
