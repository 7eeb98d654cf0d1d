package copperglade.sim

import copperglade.protocol.Endpoint

/** The names and addresses of the hosts of a simulated site: controllers, state service and cloud. */
object SimAddresses {
    val STATE = Endpoint("10.2.0.1", 2379)
    val CLOUD = Endpoint("10.2.0.2", 8443)

    fun controllerName(node: Int) = "lorry-$node"

    fun client(node: Int) = Endpoint("10.0.0.${node + 1}", 8080)

    fun cluster(node: Int) = Endpoint("10.0.0.${node + 1}", 8081)
}
